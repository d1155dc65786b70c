#ifndef ORIOLEFALL_TESTS_PLAIN_TEST_LIST_HPP
#define ORIOLEFALL_TESTS_PLAIN_TEST_LIST_HPP

#include <functional>
#include <map>
#include <string>

namespace oriolefall::tests::plain {

/// Every test of the program by name.
std::map<std::string, std::function<void()>>& all_tests();

/// Adds a test to the list before the program starts.
struct registered
{
    registered(const char* name, void (*body)());
};

/// Tells which check failed and ends the test.
[[noreturn]] void fail(const char* file, int line, const char* what);

} // namespace oriolefall::tests::plain

#endif

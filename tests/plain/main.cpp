#include "tests/plain/test_list.hpp"

#include <cstdio>
#include <cstdlib>
#include <sys/wait.h>
#include <unistd.h>

namespace oriolefall::tests::plain {

std::map<std::string, std::function<void()>>& all_tests()
{
    static std::map<std::string, std::function<void()>> tests;
    return tests;
}

registered::registered(const char* name, void (*body)())
{
    all_tests().emplace(name, body);
}

void fail(const char* file, int line, const char* what)
{
    std::fprintf(stderr, "%s:%d: %s\n", file, line, what);
    std::exit(EXIT_FAILURE);
}

namespace {

/// Runs one test in a process of its own, as Criterion does. True: it passed.
bool run_apart(const std::string& name, const std::function<void()>& body)
{
    std::fflush(nullptr);
    const pid_t child = fork();
    if (child == 0) {
        body();
        std::exit(EXIT_SUCCESS);
    }
    int status = 0;
    const bool ended = child > 0 && waitpid(child, &status, 0) == child;
    const bool passed =
        ended && WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS;
    if (!passed)
        std::fprintf(stderr, "[FAIL] %s\n", name.c_str());
    return passed;
}

} // namespace

} // namespace oriolefall::tests::plain

int main()
{
    using namespace oriolefall::tests::plain;
    std::size_t failed = 0;
    for (const auto& [name, body] : all_tests())
        failed += run_apart(name, body) ? 0 : 1;
    std::fprintf(stderr, "tested: %zu, failing: %zu\n", all_tests().size(),
                 failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

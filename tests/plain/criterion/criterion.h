#ifndef ORIOLEFALL_TESTS_PLAIN_CRITERION_H
#define ORIOLEFALL_TESTS_PLAIN_CRITERION_H

#include "tests/plain/test_list.hpp"

#include <cstdio>

/// Stands in for Criterion's header where Criterion cannot start: it maps an
/// arena at addresses that the thread sanitizer keeps for itself. The macros
/// that the tests use mean the same here; messages are left out.

#define Test(suite, name)                                                      \
    static void suite##_##name##_body();                                       \
    static const oriolefall::tests::plain::registered suite##_##name##_entry(  \
        #suite "::" #name, suite##_##name##_body);                             \
    static void suite##_##name##_body()

#define ORIOLEFALL_PLAIN_CHECK(condition, text)                                \
    do {                                                                       \
        if (!(condition))                                                      \
            oriolefall::tests::plain::fail(__FILE__, __LINE__, text);          \
    } while (false)

#define cr_assert(value, ...) ORIOLEFALL_PLAIN_CHECK((value), #value)
#define cr_assert_not(value, ...) ORIOLEFALL_PLAIN_CHECK(!(value), "!" #value)
#define cr_assert_not_null(value, ...)                                         \
    ORIOLEFALL_PLAIN_CHECK((value) != nullptr, #value)
#define cr_assert_eq(a, b, ...) ORIOLEFALL_PLAIN_CHECK((a) == (b), #a "==" #b)
#define cr_assert_neq(a, b, ...) ORIOLEFALL_PLAIN_CHECK((a) != (b), #a "!=" #b)
#define cr_assert_lt(a, b, ...) ORIOLEFALL_PLAIN_CHECK((a) < (b), #a "<" #b)
#define cr_assert_leq(a, b, ...) ORIOLEFALL_PLAIN_CHECK((a) <= (b), #a "<=" #b)
#define cr_assert_gt(a, b, ...) ORIOLEFALL_PLAIN_CHECK((a) > (b), #a ">" #b)
#define cr_assert_geq(a, b, ...) ORIOLEFALL_PLAIN_CHECK((a) >= (b), #a ">=" #b)
#define cr_log_error(...) std::fprintf(stderr, __VA_ARGS__)

#endif

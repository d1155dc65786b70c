#include "platform/json_fields.hpp"

#include <limits>
#include <optional>

#include <criterion/criterion.h>

using namespace oriolefall::platform;

namespace {

std::optional<std::int64_t> read(const char* number)
{
    return integer_field(json{{"a", json::parse(number)}}, "a");
}

} // namespace

// A version of 2^63 was read as the largest integer on arm64, and as none on
// x86-64.
Test(json_fields, a_number_beyond_all_integers_is_none_on_each_processor)
{
    for (const char* number : {"9223372036854775808.0", "1e19", "-1e19",
                               "1e300", "-9223372036854777856.0"})
        cr_assert_eq(read(number), std::nullopt, "%s", number);
    cr_assert_eq(read("-9223372036854775808.0"),
                 std::numeric_limits<std::int64_t>::min());
}

Test(json_fields, a_whole_number_is_an_integer)
{
    cr_assert_eq(read("7"), 7);
    cr_assert_eq(read("7.0"), 7);
    cr_assert_eq(read("-1e3"), -1000);
    cr_assert_eq(read("7.5"), std::nullopt);
}

// 2^32 slots became none, and a time beyond all clocks overflowed them.
Test(json_fields, numbers_beyond_their_type_are_held_at_its_bound)
{
    const json object{{"a", std::uint64_t{1} << 32U}, {"b", 1e300}};
    cr_assert_eq(non_negative_or(object, "a", std::uint32_t{7}),
                 std::numeric_limits<std::uint32_t>::max());
    cr_assert(milliseconds_field(object, "b") == absl::Hours(24 * 365));
}

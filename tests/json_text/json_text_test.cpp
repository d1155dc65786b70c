#include "oriolefall/json_text/json_text.hpp"
#include "oriolefall/json_text/value_slices.hpp"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// A value that was nested 200,000 deep was parsed, and printing it overflowed
// the stack.
Test(json_text, what_is_nested_too_deep_is_not_parsed)
{
    cr_assert(json_text::parse(nested(json_text::max_depth)).has_value());
    cr_assert_not(
        json_text::parse(nested(json_text::max_depth + 1)).has_value());
    cr_assert_not(json_text::parse(nested(2000000)).has_value());
    cr_assert_not(
        json_text::parse(std::string(2000000, '[') + "\"").has_value());
    // Brackets in strings nest nothing.
    cr_assert(
        json_text::parse(R"({"a":"\"[[[[)" + std::string(100, '[') + "\"}")
            .has_value());
}

Test(json_text, what_the_library_refuses_is_nothing)
{
    for (const char* text :
         {"", "{", "[1e400]", R"(["v\ud800"])", "[\"\xff\"]", "[1] 2"})
        cr_assert_not(json_text::parse(text).has_value(), "%s", text);
}

Test(json_text, bytes_that_are_not_utf8_are_printed_as_replacements)
{
    cr_assert_eq(json_text::print(json("a\xff")), "\"a\xef\xbf\xbd\"");
}

Test(json_text, one_value_that_is_unreadable_hides_no_other)
{
    const std::string text =
        " [ {\"a\":\"\\ud800,]\"} ,1e400, \"\xff[\" ,[1,2],{}] ";
    const auto found = json_text::elements(text);
    cr_assert(found.has_value());
    const std::vector<std::string_view> expected{
        "{\"a\":\"\\ud800,]\"}", "1e400", "\"\xff[\"", "[1,2]", "{}"};
    cr_assert(*found == expected);
    cr_assert_eq(json_text::elements("[]")->size(), 0);
    for (const char* other : {"", "[", "{}", "[1],[2]", "\"[]\""})
        cr_assert_not(json_text::elements(other).has_value(), "%s", other);
}

Test(json_text, a_member_is_found_by_its_key)
{
    const std::string text =
        R"({"x":{"b":1},"bb":2, "b" : [3, "}"] ,"b":4,"c":"\ud800"})";
    cr_assert_eq(json_text::member(text, "b").value(), R"([3, "}"])");
    cr_assert_eq(json_text::member(text, "c").value(), R"("\ud800")");
    cr_assert_not(json_text::member(text, "d").has_value());
    cr_assert_not(json_text::member("[]", "b").has_value());
}

Test(json_text, slices_of_sound_text_are_its_values)
{
    const bool is_kept = rc::check(
        "slices", [](const std::vector<std::string>& texts, int number) {
            json array = json::array();
            for (const std::string& each : texts)
                array.push_back({{"k", each}, {"n", number}});
            const std::string printed = json_text::print(array);
            const auto found = json_text::elements(printed);
            RC_ASSERT(found.has_value());
            RC_ASSERT(found->size() == array.size());
            for (std::size_t i = 0; i < array.size(); ++i) {
                RC_ASSERT((*found)[i] == json_text::print(array[i]));
                RC_ASSERT(json_text::member((*found)[i], "n").value() ==
                          std::to_string(number));
            }
        });
    cr_assert(is_kept);
}

#include "oriolefall/observe/event_log.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall::observe;
using nlohmann::json;

namespace {

/// The lines of a log after this field was written.
std::vector<std::string> lines_with(const std::string& value)
{
    std::vector<std::string> lines;
    {
        event_log log(
            {.instance = "edge-1"},
            [&lines](const std::string& line) { lines.push_back(line); });
        log.write("peer_known", {{"peer", value}});
    }
    return lines;
}

} // namespace

// Names of other writers' entries are logged as they are.
Test(event_log, any_value_stays_within_its_field_and_line)
{
    for (const std::string& value :
         {std::string("a&b\r\n{\"event\":\"ready\"}"), std::string("\"},{\\"),
          std::string("a\0b", 3), std::string("\u00e9\u2603")}) {
        const auto lines = lines_with(value);
        cr_assert_eq(lines.size(), 1);
        cr_assert_eq(lines[0].find('\n'), lines[0].size() - 1);
        const json line = json::parse(lines[0]);
        cr_assert_eq(line["peer"].get<std::string>(), value);
        cr_assert_eq(line["event"].get<std::string>(), "peer_known");
    }
}

Test(event_log, bytes_that_are_not_utf_8_are_replaced)
{
    const auto lines = lines_with("a\xff");
    cr_assert_eq(json::parse(lines.at(0))["peer"].get<std::string>(),
                 "a\ufffd");
}

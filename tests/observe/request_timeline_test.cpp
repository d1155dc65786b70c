#include "oriolefall/observe/request_timeline.hpp"

#include <criterion/criterion.h>
#include <sstream>

namespace {

using oriolefall::observe::find_request_timeline;
using oriolefall::observe::request_timeline;

std::string line(const std::string& second, const std::string& instance,
                 const std::string& event, const std::string& rest = "")
{
    return "{\"at\":\"2026-12-04T10:00:" + second + ".000Z\",\"instance\":\"" +
           instance + "\",\"event\":\"" + event + "\"" + rest + "}\n";
}

std::string request(const std::string& second, const std::string& instance,
                    const std::string& outcome, const std::string& attempt)
{
    return line(second, instance, "request",
                ",\"attempt\":\"" + attempt + "\",\"outcome\":\"" + outcome +
                    "\",\"server\":\"s1\"");
}

request_timeline find_timeline(const std::string& text,
                               const std::string& attempt)
{
    std::istringstream logs(text);
    return find_request_timeline(logs, attempt);
}

bool mentions(const request_timeline& timeline, const std::string& part)
{
    return format_timeline(timeline).find(part) != std::string::npos;
}

} // namespace

Test(request_timeline, orders_lines_of_several_instances_and_omits_others)
{
    const auto timeline = find_timeline(
        request("20", "b", "answered", "x") + request("10", "a", "sent", "x") +
            request("11", "a", "refused", "x") +
            request("12", "a", "sent", "y") + request("15", "b", "sent", "x"),
        "x");
    cr_assert_eq(timeline.lines.size(), 4);
    cr_assert_eq(timeline.lines.front().outcome, "sent");
    cr_assert_eq(timeline.lines.back().outcome, "answered");
    cr_assert(timeline.missing.empty());
}

Test(request_timeline, includes_state_of_the_instances_that_had_the_request)
{
    const auto timeline = find_timeline(
        line("01", "a", "settings_in_force", ",\"version\":\"18\"") +
            line("02", "b", "settings_in_force", ",\"version\":\"19\"") +
            line("29", "a", "server_out", ",\"server\":\"s1\"") +
            line("29", "a", "server_out", ",\"server\":\"s2\"") +
            request("30", "a", "refused", "x"),
        "x");
    cr_assert(mentions(timeline, "version=18"));
    cr_assert(!mentions(timeline, "version=19"));
    cr_assert(mentions(timeline, "server=s1"));
    cr_assert(!mentions(timeline, "server=s2"));
}

Test(request_timeline, includes_newer_settings_of_other_instances)
{
    const auto timeline = find_timeline(
        line("01", "a", "settings_in_force", ",\"version\":\"6\"") +
            line("29", "b", "settings_in_force", ",\"version\":\"10\"") +
            line("29", "b", "store_lost") + request("30", "a", "refused", "x"),
        "x");
    cr_assert(mentions(timeline, "b settings_in_force version=10"));
    cr_assert(!mentions(timeline, "store_lost"));
}

Test(request_timeline, reports_a_restart_before_the_end_of_the_request)
{
    const auto timeline = find_timeline(
        request("10", "a", "sent", "x") + line("12", "a", "started"), "x");
    cr_assert_eq(timeline.missing.size(), 1);
    cr_assert(mentions(timeline, "restarted at"));
}

Test(request_timeline, explains_why_a_request_may_be_missing)
{
    cr_assert(mentions(find_timeline(request("10", "a", "sent", "y"), "x"),
                       "reached none of these"));
    cr_assert(mentions(find_timeline(line("10", "a", "requests_left_out"), "x"),
                       "omitted under load"));
}

Test(request_timeline, counts_unreadable_lines)
{
    const auto timeline = find_timeline(
        "no json\n[1]\n" + request("10", "a", "answered", "x"), "x");
    cr_assert_eq(timeline.unreadable_lines, 2);
    cr_assert_eq(timeline.lines.size(), 1);
}

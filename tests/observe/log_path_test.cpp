#include "oriolefall/observe/log_path.hpp"

#include <criterion/criterion.h>
#include <sstream>

namespace {

using oriolefall::observe::find_log_path;
using oriolefall::observe::log_path;

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

log_path find(const std::string& text, const std::string& attempt)
{
    std::istringstream logs(text);
    return find_log_path(logs, attempt);
}

bool mentions(const log_path& path, const std::string& part)
{
    return print(path).find(part) != std::string::npos;
}

} // namespace

Test(log_path, orders_the_lines_of_many_instances_and_leaves_out_others)
{
    const auto path = find(
        request("20", "b", "answered", "x") + request("10", "a", "sent", "x") +
            request("11", "a", "refused", "x") +
            request("12", "a", "sent", "y") + request("15", "b", "sent", "x"),
        "x");
    cr_assert_eq(path.lines.size(), 4);
    cr_assert_eq(path.lines.front().outcome, "sent");
    cr_assert_eq(path.lines.back().outcome, "answered");
    cr_assert(path.missing.empty());
}

Test(log_path, shows_what_the_instances_believed)
{
    const auto path =
        find(line("01", "a", "settings_in_force", ",\"version\":\"18\"") +
                 line("02", "b", "settings_in_force", ",\"version\":\"19\"") +
                 line("29", "a", "server_out", ",\"server\":\"s1\"") +
                 line("29", "a", "server_out", ",\"server\":\"s2\"") +
                 request("30", "a", "refused", "x"),
             "x");
    cr_assert(mentions(path, "version=18"));
    cr_assert(!mentions(path, "version=19"));
    cr_assert(mentions(path, "server=s1"));
    cr_assert(!mentions(path, "server=s2"));
}

Test(log_path, shows_settings_that_others_had_already)
{
    const auto path = find(
        line("01", "a", "settings_in_force", ",\"version\":\"6\"") +
            line("29", "b", "settings_in_force", ",\"version\":\"10\"") +
            line("29", "b", "store_lost") + request("30", "a", "refused", "x"),
        "x");
    cr_assert(mentions(path, "b settings_in_force version=10"));
    cr_assert(!mentions(path, "store_lost"));
}

Test(log_path, says_that_a_process_ended_before_its_request)
{
    const auto path =
        find(request("10", "a", "sent", "x") + line("12", "a", "started"), "x");
    cr_assert_eq(path.missing.size(), 1);
    cr_assert(mentions(path, "started anew"));
}

Test(log_path, says_why_a_request_may_be_missing)
{
    cr_assert(mentions(find(request("10", "a", "sent", "y"), "x"),
                       "reached none of these"));
    cr_assert(mentions(find(line("10", "a", "requests_left_out"), "x"),
                       "left out under load"));
}

Test(log_path, counts_what_it_cannot_read)
{
    const auto path =
        find("no json\n[1]\n" + request("10", "a", "answered", "x"), "x");
    cr_assert_eq(path.unreadable, 2);
    cr_assert_eq(path.lines.size(), 1);
}

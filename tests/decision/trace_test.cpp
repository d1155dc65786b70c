#include "bench/trace.hpp"

#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;

namespace {

const std::string header =
    R"({"kind":"header","name":"t","region":"riga","failure_domain":"riga-1",)"
    R"("classes":[{"name":"rules","tier":"interactive","first_token_ms":660,)"
    R"("deadline_ms":8000}],"workspaces":["w"],"servers":[{"id":"e1",)"
    R"("region":"riga","failure_domain":"riga-1","serves":["small"]}]})"
    "\n";
const std::string arrival =
    R"({"kind":"arrival","at_ms":12.5,"class":"rules","workspace":"w",)"
    R"("model":"small","prompt_tokens":300,"output_tokens":60})"
    "\n";

std::variant<bench::trace, bench::trace_error> parse(const std::string& text)
{
    std::istringstream in(text);
    return bench::parse_trace(in);
}

std::size_t error_line(const std::string& text)
{
    const auto parsed = parse(text);
    const auto* error = std::get_if<bench::trace_error>(&parsed);
    return error == nullptr ? 0 : error->line;
}

} // namespace

Test(trace, parses_a_header_and_an_arrival)
{
    const auto parsed = parse(header + arrival);
    const auto& loaded = std::get<bench::trace>(parsed);
    cr_assert_eq(loaded.arrivals.size(), 1);
    const bench::trace_arrival& first = loaded.arrivals.front();
    cr_assert_eq(absl::ToInt64Microseconds(first.at), 12500);
    cr_assert_eq(first.body_bytes, 1200);
    cr_assert_eq(absl::ToInt64Milliseconds(
                     loaded.header.classes.front().target.first_token),
                 660);
}

Test(trace, sorts_records_by_time)
{
    std::string later_arrival = arrival;
    later_arrival.replace(later_arrival.find("12.5"), 4, "99.5");
    const auto parsed = parse(header + later_arrival + arrival);
    const auto& loaded = std::get<bench::trace>(parsed);
    cr_assert_lt(absl::ToDoubleMilliseconds(loaded.arrivals.front().at), 13.0);
}

Test(trace, reports_the_line_number_of_an_error)
{
    const std::string fault = R"({"kind":"fault","at_ms":1,"fault":)";
    cr_assert_eq(error_line(arrival), 1);
    cr_assert_eq(error_line(header + arrival + "{\n"), 3);
    cr_assert_eq(error_line(header + "\n" + R"({"kind":"other"})"), 3);
    cr_assert_eq(error_line(header + fault + R"("fire","server":"e1"})"), 2);
    cr_assert_eq(error_line(header + fault + R"("crash","server":"e2"})"), 2);
    cr_assert_eq(error_line(header + fault + R"("straggler","server":"e1"})"),
                 2);
}

Test(trace, rejects_unknown_fields_and_out_of_range_values)
{
    std::string unknown_field = arrival;
    unknown_field.replace(unknown_field.find("output_tokens"), 13,
                          "answer_tokens");
    cr_assert_eq(error_line(header + unknown_field), 2);
    std::string negative = arrival;
    negative.replace(negative.find("12.5"), 4, "-1");
    cr_assert_eq(error_line(header + negative), 2);
    std::string unknown_workspace = arrival;
    unknown_workspace.replace(unknown_workspace.find("\"w\""), 3, "\"v\"");
    cr_assert_eq(error_line(header + unknown_workspace), 2);
}

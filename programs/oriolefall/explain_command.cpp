#include "oriolefall/observe/request_timeline.hpp"
#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/instance_query.hpp"

#include <absl/strings/numbers.h>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

command_line explain_command_line()
{
    command_line line;
    line.usage = "explain REQUEST_ID [--address ADDRESS:PORT] | [--logs FILE]";
    line.description =
        "Prints why a request went where it went. With --logs it reads the\n"
        "log lines of any number of instances, and REQUEST_ID is the caller's\n"
        "name of its request. Else it asks the instance that answered it, and\n"
        "REQUEST_ID is what the header X-Request-Id of the answer says.";
    add_address_option(line);
    line.options.add_options()("logs", po::value<std::string>(),
                               "file with log lines; - for standard input");
    line.positional_options.add_options()("request-id",
                                          po::value<std::string>());
    line.positions.add("request-id", 1);
    return line;
}

/// Prints the timeline of a request from the log lines in `file`. Returns
/// `EXIT_FAILURE` when no line names the request.
int explain_from_logs(const std::string& file, const std::string& request_id)
{
    std::ifstream stream;
    if (file != "-") {
        stream.open(file);
        if (!stream)
            return report_bad_input("explain", "cannot read " + file);
    }
    const auto timeline = observe::find_request_timeline(
        file == "-" ? std::cin : stream, request_id);
    std::cout << observe::format_timeline(timeline);
    return timeline.lines.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

int run_explain(const std::vector<std::string>& arguments)
{
    const auto parsed = parse_command_line(explain_command_line(), arguments);
    if (const auto* early = std::get_if<early_exit>(&parsed))
        return early->exit_status;
    const auto& values = std::get<po::variables_map>(parsed);
    if (!values.contains("request-id"))
        return report_bad_input("explain", "REQUEST_ID is missing");
    const auto& text = values["request-id"].as<std::string>();
    if (values.contains("logs"))
        return explain_from_logs(values["logs"].as<std::string>(), text);
    std::uint64_t id = 0;
    if (!absl::SimpleAtoi(text, &id))
        return report_bad_input("explain",
                                "\"" + text + "\" is not a request id");
    const auto address = parse_address(values, "explain");
    if (const auto* early = std::get_if<early_exit>(&address))
        return early->exit_status;
    return query_and_print(std::get<core::endpoint>(address),
                           "/v1/explain/" + std::to_string(id), "explain");
}

} // namespace

command explain_command()
{
    return {"explain", "print why a request went where it went", run_explain};
}

} // namespace oriolefall::programs

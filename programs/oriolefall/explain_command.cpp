#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/instance_query.hpp"

#include <absl/strings/numbers.h>

#include <cstdint>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

command_line explain_line()
{
    command_line line;
    line.usage = "explain REQUEST_ID [--address ADDRESS:PORT]";
    line.description =
        "Prints why a request went where it went, as JSON. REQUEST_ID is what\n"
        "the header X-Request-Id of its answer says; ask the instance that\n"
        "answered it.";
    add_address_option(line);
    line.positional_options.add_options()("request-id",
                                          po::value<std::string>());
    line.positions.add("request-id", 1);
    return line;
}

int run_explain(const std::vector<std::string>& arguments)
{
    const auto parsed = parse_command_line(explain_line(), arguments);
    if (const auto* done = std::get_if<ended>(&parsed))
        return done->exit_status;
    const auto& values = std::get<po::variables_map>(parsed);
    if (!values.contains("request-id"))
        return report_bad_input("explain", "REQUEST_ID is missing");
    const auto& text = values["request-id"].as<std::string>();
    std::uint64_t id = 0;
    if (!absl::SimpleAtoi(text, &id))
        return report_bad_input("explain",
                                "\"" + text + "\" is not a request id");
    const auto address = address_of(values, "explain");
    if (const auto* done = std::get_if<ended>(&address))
        return done->exit_status;
    return print_answer(std::get<core::endpoint>(address),
                        "/v1/explain/" + std::to_string(id), "explain");
}

} // namespace

command explain_command()
{
    return {"explain", "print why a request went where it went", run_explain};
}

} // namespace oriolefall::programs

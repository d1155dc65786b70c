#include "programs/oriolefall/instance_query.hpp"

#include "oriolefall/settings/endpoint_text.hpp"
#include "programs/oriolefall/command.hpp"

#include <absl/strings/ascii.h>

#include <httplib.h>
#include <iostream>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

constexpr const char* default_address = "127.0.0.1:8080";
constexpr int status_ok = 200;
constexpr std::chrono::seconds connect_timeout{5};
constexpr std::chrono::seconds answer_timeout{30};

int report_failure(const std::string& command, const core::endpoint& instance,
                   const std::string& error)
{
    std::cerr << "oriolefall " << command << ": instance "
              << settings::format_endpoint(instance) << ": " << error << '\n';
    return exit_failure;
}

} // namespace

void add_address_option(command_line& line)
{
    line.options.add_options()(
        "address", po::value<std::string>()->default_value(default_address),
        "IP number and port of the instance to ask");
}

std::variant<core::endpoint, early_exit>
parse_address(const po::variables_map& values, const std::string& command)
{
    const auto& text = values["address"].as<std::string>();
    const auto endpoint = settings::parse_endpoint(text);
    if (!endpoint)
        return early_exit{report_bad_input(
            command, "--address \"" + text +
                         "\" is not an IP number and a port, as in " +
                         default_address)};
    return *endpoint;
}

int query_and_print(const core::endpoint& instance, const std::string& path,
                    const std::string& command)
{
    httplib::Client client(instance.address, instance.port);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(answer_timeout);
    const auto answer = client.Get(path);
    if (!answer)
        return report_failure(command, instance,
                              "no answer: " +
                                  httplib::to_string(answer.error()));
    if (answer->status != status_ok)
        return report_failure(command, instance,
                              "status " + std::to_string(answer->status) +
                                  ": " + answer->body);
    std::cout << answer->body << '\n';
    return exit_success;
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~";
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (absl::ascii_isalnum(byte) ||
            unreserved.find(character) != std::string_view::npos) {
            escaped += character;
            continue;
        }
        escaped += {'%', hex_digits[byte / hex_digits.size()],
                    hex_digits[byte % hex_digits.size()]};
    }
    return escaped;
}

} // namespace oriolefall::programs

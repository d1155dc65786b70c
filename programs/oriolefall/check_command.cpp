#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/instance_settings.hpp"
#include "oriolefall/settings/json_text.hpp"
#include "platform/settings_file.hpp"
#include "programs/oriolefall/command_line.hpp"
#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/settings_file.hpp"

#include <algorithm>
#include <iostream>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;
using faults = std::vector<core::settings_error>;

command_line check_command_line()
{
    command_line line;
    line.usage = "check [--instance] FILE...";
    line.description =
        "Checks settings files: deployments, settings of one instance, and "
        "the\n"
        "users' platform's file of a process, told apart by what is in them.\n"
        "Prints one line for each fault and exits with 2.";
    line.options.add_options()("instance", po::bool_switch(),
                               "the files are settings of one instance");
    line.positional_options.add_options()(
        "file", po::value<std::vector<std::string>>());
    line.positions.add("file", -1);
    return line;
}

template <class Value>
faults faults_of(const std::variant<Value, faults>& parsed)
{
    const auto* found = std::get_if<faults>(&parsed);
    return found == nullptr ? faults{} : *found;
}

enum class file_kind : unsigned char
{
    deployment,
    instance,
    /// The users' platform's file of a process, with lines a.b=value.
    platform
};

file_kind detect_file_kind(const std::string& text)
{
    const auto parsed = settings::parse_json(text);
    if (const auto* value = std::get_if<nlohmann::json>(&parsed))
        return value->is_object() && value->contains("instance")
                   ? file_kind::instance
                   : file_kind::deployment;
    const auto first = text.find_first_not_of(" \t\r\n");
    const bool is_json = first == std::string::npos || text[first] == '{' ||
                         text[first] == '[' || text[first] == '/';
    return is_json ? file_kind::deployment : file_kind::platform;
}

faults check_text(const std::string& text, file_kind kind)
{
    return kind == file_kind::instance
               ? faults_of(settings::parse_instance_settings(text))
               : faults_of(settings::parse_deployment(text));
}

/// Prints the faults of the file; returns whether it is valid.
bool check_platform_file(const std::string& file, const std::string& text)
{
    const auto parsed = platform::parse_settings_file(text);
    const auto* found =
        std::get_if<std::vector<platform::settings_fault>>(&parsed);
    if (found == nullptr)
        return true;
    for (const platform::settings_fault& fault : *found)
        std::cout << file << ":" << fault.line << ": " << fault.message << '\n';
    return false;
}

/// Checks a file and prints its faults, or that it is valid; returns whether it
/// is valid.
bool check_file(const std::string& file, bool is_instance)
{
    const auto text = core::read_file(file);
    if (!text) {
        std::cerr << "oriolefall check: " << file << ": cannot be read\n";
        return false;
    }
    const file_kind kind =
        is_instance ? file_kind::instance : detect_file_kind(*text);
    bool is_valid = false;
    if (kind == file_kind::platform) {
        is_valid = check_platform_file(file, *text);
    } else {
        const faults found = check_text(*text, kind);
        print_faults(std::cout, file, found);
        is_valid = found.empty();
    }
    if (is_valid)
        std::cout << file << ": ok\n";
    return is_valid;
}

int run_check(const std::vector<std::string>& arguments)
{
    const auto parsed = parse_command_line(check_command_line(), arguments);
    if (const auto* early = std::get_if<early_exit>(&parsed))
        return early->exit_status;
    const auto& values = std::get<po::variables_map>(parsed);
    if (!values.contains("file"))
        return report_bad_input("check", "FILE is missing");
    const bool is_instance = values["instance"].as<bool>();
    const auto& files = values["file"].as<std::vector<std::string>>();
    const auto invalid_count =
        std::ranges::count_if(files, [&](const auto& file) {
            return !check_file(file, is_instance);
        });
    return invalid_count == 0 ? exit_success : exit_bad_input;
}

} // namespace

command check_command()
{
    return {"check", "check settings files", run_check};
}

} // namespace oriolefall::programs

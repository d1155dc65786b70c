#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/instance_settings.hpp"
#include "programs/oriolefall/command_line.hpp"
#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/settings_file.hpp"

#include <algorithm>
#include <iostream>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;
using faults = std::vector<core::settings_error>;

command_line check_line()
{
    command_line line;
    line.usage = "check [--instance] FILE...";
    line.description =
        "Checks settings files: deployments, or with --instance the settings\n"
        "of one instance. Prints one line for each fault and exits with 2.";
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

faults check_text(const std::string& text, bool instance)
{
    return instance ? faults_of(settings::parse_instance_settings(text))
                    : faults_of(settings::parse_deployment(text));
}

/// True when the file is sound.
bool check_file(const std::string& file, bool instance)
{
    const auto text = read_file(file);
    if (!text) {
        std::cerr << "oriolefall check: " << file << ": cannot be read\n";
        return false;
    }
    const faults found = check_text(*text, instance);
    print_faults(std::cout, file, found);
    if (found.empty())
        std::cout << file << ": ok\n";
    return found.empty();
}

int run_check(const std::vector<std::string>& arguments)
{
    const auto parsed = parse_command_line(check_line(), arguments);
    if (const auto* done = std::get_if<ended>(&parsed))
        return done->exit_status;
    const auto& values = std::get<po::variables_map>(parsed);
    if (!values.contains("file"))
        return report_bad_input("check", "FILE is missing");
    const bool instance = values["instance"].as<bool>();
    const auto& files = values["file"].as<std::vector<std::string>>();
    const auto faulty = std::ranges::count_if(
        files, [&](const auto& file) { return !check_file(file, instance); });
    return faulty == 0 ? exit_done : exit_bad_input;
}

} // namespace

command check_command()
{
    return {"check", "check settings files", run_check};
}

} // namespace oriolefall::programs

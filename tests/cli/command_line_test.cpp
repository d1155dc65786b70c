#include "tests/cli/program.hpp"

#include <algorithm>
#include <sstream>

#include <criterion/criterion.h>

using oriolefall::tests::program_result;
using oriolefall::tests::run_program;

namespace {

/// Names of the commands that `--help` lists.
std::vector<std::string> listed_commands()
{
    std::istringstream lines(run_program({"--help"}).out);
    std::vector<std::string> names;
    bool is_in_list = false;
    for (std::string line; std::getline(lines, line);) {
        if (is_in_list && line.starts_with("  "))
            names.push_back(line.substr(2, line.find(' ', 2) - 2));
        is_in_list = line == "Commands:" || (is_in_list && !line.empty());
    }
    return names;
}

bool is_one_line(const std::string& text)
{
    return std::ranges::count(text, '\n') == 1 && text.ends_with('\n');
}

void expect_bad_arguments(const std::vector<std::string>& arguments,
                          const std::string& expected_text)
{
    const program_result result = run_program(arguments);
    cr_assert_eq(result.exit_status, 2, "exit %d", result.exit_status);
    cr_assert(result.out.empty());
    cr_assert(is_one_line(result.err), "%s", result.err.c_str());
    cr_assert(result.err.find(expected_text) != std::string::npos, "%s",
              result.err.c_str());
}

} // namespace

Test(command_line, every_listed_command_has_help)
{
    const auto names = listed_commands();
    cr_assert_geq(names.size(), 4);
    for (const std::string& name : names) {
        const program_result help = run_program({name, "--help"});
        cr_assert_eq(help.exit_status, 0, "%s", name.c_str());
        cr_assert(help.out.starts_with("Usage: oriolefall " + name), "%s",
                  help.out.c_str());
        cr_assert(help.err.empty(), "%s", help.err.c_str());
    }
}

Test(command_line, version_is_printed)
{
    const program_result result = run_program({"--version"});
    cr_assert_eq(result.exit_status, 0);
    cr_assert(result.out.starts_with("oriolefall 0."));
}

Test(command_line, bad_arguments_print_one_line_and_give_status_2)
{
    expect_bad_arguments({}, "command is missing");
    expect_bad_arguments({"juggle"}, "\"juggle\"");
    expect_bad_arguments({"--juggle"}, "\"--juggle\"");
    expect_bad_arguments({"check"}, "FILE is missing");
    expect_bad_arguments({"check", "--juggle", "x"}, "--juggle");
    expect_bad_arguments({"entry"}, "--workspace");
    expect_bad_arguments({"entry", "--workspace", "riga", "more"}, "too many");
    expect_bad_arguments({"status", "--address", "localhost"}, "localhost");
    expect_bad_arguments({"explain"}, "REQUEST_ID is missing");
    expect_bad_arguments({"explain", "x7"}, "\"x7\"");
    expect_bad_arguments({"explain", "1", "2"}, "too many");
}

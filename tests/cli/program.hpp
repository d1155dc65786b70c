#ifndef ORIOLEFALL_TESTS_CLI_PROGRAM_HPP
#define ORIOLEFALL_TESTS_CLI_PROGRAM_HPP

#include <string>
#include <vector>

namespace oriolefall::tests {

/// Exit status and output of a run of the program.
struct program_result
{
    int exit_status = -1;
    std::string out;
    std::string err;
};

/// Runs the program oriolefall of the build folder and waits until it exits.
/// The environment variable ORIOLEFALL_BUILD names the folder.
[[nodiscard]] program_result
run_program(const std::vector<std::string>& arguments);

/// Path of a file of the source tree, whose root the environment variable
/// ORIOLEFALL_SOURCE names.
[[nodiscard]] std::string source_file(const std::string& name);

} // namespace oriolefall::tests

#endif

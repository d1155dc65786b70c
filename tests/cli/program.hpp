#ifndef ORIOLEFALL_TESTS_CLI_PROGRAM_HPP
#define ORIOLEFALL_TESTS_CLI_PROGRAM_HPP

#include <string>
#include <vector>

namespace oriolefall::tests {

/// What a run of the program left behind.
struct program_result
{
    int exit_status = -1;
    std::string out;
    std::string err;
};

/// Runs build/oriolefall to its end. ORIOLEFALL_BUILD names the build folder.
[[nodiscard]] program_result
run_program(const std::vector<std::string>& arguments);

/// Path of a file of the source tree, which ORIOLEFALL_SOURCE names.
[[nodiscard]] std::string source_file(const std::string& name);

} // namespace oriolefall::tests

#endif

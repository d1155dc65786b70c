#include "tests/cli/program.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace oriolefall::tests {

namespace {

std::string environment_variable(const char* name)
{
    const char* value = std::getenv(name);
    if (value == nullptr)
        throw std::runtime_error(std::string(name) + " is not set");
    return value;
}

/// A pipe for the output of the program, which gets the write end.
struct output_pipe
{
    output_pipe()
    {
        if (::pipe(ends.data()) != 0)
            throw std::runtime_error("pipe");
    }

    /// Closes the write end of this process, reads until the program has closed
    /// its own and closes the read end.
    std::string read_all()
    {
        ::close(ends[1]);
        std::string text;
        std::array<char, 4096> buffer{};
        for (;;) {
            const ssize_t size = ::read(ends[0], buffer.data(), buffer.size());
            if (size <= 0)
                break;
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        ::close(ends[0]);
        return text;
    }

    std::array<int, 2> ends{};
};

pid_t spawn(const std::vector<std::string>& arguments, const output_pipe& out,
            const output_pipe& err)
{
    const std::string path =
        environment_variable("ORIOLEFALL_BUILD") + "/oriolefall";
    std::vector<std::string> argument_strings{path};
    std::ranges::copy(arguments, std::back_inserter(argument_strings));
    std::vector<char*> argv;
    std::ranges::transform(argument_strings, std::back_inserter(argv),
                           [](std::string& text) { return text.data(); });
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, out.ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, err.ends[1], STDERR_FILENO);
    for (const int end : {out.ends[0], out.ends[1], err.ends[0], err.ends[1]})
        posix_spawn_file_actions_addclose(&actions, end);
    pid_t child = 0;
    const int error = posix_spawn(&child, path.c_str(), &actions, nullptr,
                                  argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot run " + path);
    return child;
}

} // namespace

program_result run_program(const std::vector<std::string>& arguments)
{
    output_pipe out;
    output_pipe err;
    const pid_t child = spawn(arguments, out, err);
    program_result result;
    std::thread reader([&] { result.err = err.read_all(); });
    result.out = out.read_all();
    reader.join();
    int status = 0;
    if (::waitpid(child, &status, 0) == child && WIFEXITED(status))
        result.exit_status = WEXITSTATUS(status);
    return result;
}

std::string source_file(const std::string& name)
{
    return environment_variable("ORIOLEFALL_SOURCE") + "/" + name;
}

} // namespace oriolefall::tests

#include "bench/child_process.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace oriolefall::bench {

namespace {

constexpr int signal_status_base = 128;
constexpr mode_t log_mode = 0644;

/// Ends the process when the thread that started it ends, however it ends.
const std::vector<std::string> tie_to_parent{"setpriv", "--pdeathsig", "KILL",
                                             "--"};

void check(int error, const char* what)
{
    if (error != 0)
        throw std::system_error(error, std::generic_category(), what);
}

/// The files and signals that a started process begins with.
class spawn_setup
{
public:
    spawn_setup(int output, const child_command& command)
    {
        posix_spawn_file_actions_init(&files_);
        posix_spawnattr_init(&attributes_);
        posix_spawn_file_actions_addopen(&files_, STDIN_FILENO, "/dev/null",
                                         O_RDONLY, 0);
        if (command.output_path.empty())
            posix_spawn_file_actions_adddup2(&files_, output, STDOUT_FILENO);
        else
            append_to(command.output_path, STDOUT_FILENO);
        append_to(command.log_path, STDERR_FILENO);
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&attributes_, &none);
        posix_spawnattr_setflags(&attributes_, POSIX_SPAWN_SETSIGMASK);
    }
    spawn_setup(const spawn_setup&) = delete;
    spawn_setup& operator=(const spawn_setup&) = delete;
    ~spawn_setup()
    {
        posix_spawnattr_destroy(&attributes_);
        posix_spawn_file_actions_destroy(&files_);
    }

    pid_t spawn(std::vector<std::string> words) const
    {
        std::vector<char*> arguments;
        std::ranges::transform(words, std::back_inserter(arguments),
                               [](std::string& word) { return word.data(); });
        arguments.push_back(nullptr);
        pid_t pid = -1;
        check(posix_spawnp(&pid, arguments[0], &files_, &attributes_,
                           arguments.data(), environ),
              "posix_spawnp");
        return pid;
    }

private:
    void append_to(const std::string& path, int file)
    {
        posix_spawn_file_actions_addopen(&files_, file, path.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND,
                                         log_mode);
    }

    posix_spawn_file_actions_t files_{};
    posix_spawnattr_t attributes_{};
};

std::string read_line(int file)
{
    std::string line;
    char letter = 0;
    while (::read(file, &letter, 1) == 1 && letter != '\n')
        line += letter;
    return line;
}

void read_to_end(int file)
{
    std::array<char, 4096> ignored;
    while (::read(file, ignored.data(), ignored.size()) > 0) {
    }
}

int exit_status(int wait_status)
{
    return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status)
                                  : signal_status_base + WTERMSIG(wait_status);
}

} // namespace

child_process::child_process(const child_command& command)
{
    std::array<int, 2> ends{};
    check(::pipe2(ends.data(), O_CLOEXEC) == 0 ? 0 : errno, "pipe2");
    output_ = ends[0];
    std::vector<std::string> words = tie_to_parent;
    std::ranges::copy(command.words, std::back_inserter(words));
    pid_ = spawn_setup(ends[1], command).spawn(std::move(words));
    ::close(ends[1]);
}

child_process::~child_process()
{
    if (!has_ended()) {
        send_signal(SIGKILL);
        await_exit();
    }
    drain_.reset();
    ::close(output_);
}

std::uint16_t child_process::await_port()
{
    const std::string line = read_line(output_);
    drain_.emplace("drain", [file = output_] { read_to_end(file); });
    const auto told = nlohmann::json::parse(line, nullptr, false);
    if (!told.is_object())
        return 0;
    return told.value("port", std::uint16_t{0});
}

void child_process::send_signal(int signal) const
{
    if (!status_)
        ::kill(pid_, signal);
}

int child_process::await_exit()
{
    if (!status_) {
        int wait_status = 0;
        ::waitpid(pid_, &wait_status, 0);
        status_ = exit_status(wait_status);
    }
    return *status_;
}

bool child_process::has_ended()
{
    int wait_status = 0;
    if (!status_ && ::waitpid(pid_, &wait_status, WNOHANG) == pid_)
        status_ = exit_status(wait_status);
    return status_.has_value();
}

absl::Duration child_process::processor_time() const
{
    clockid_t clock{};
    timespec used{};
    if (::clock_getcpuclockid(pid_, &clock) == 0)
        ::clock_gettime(clock, &used);
    return absl::DurationFromTimespec(used);
}

} // namespace oriolefall::bench

#ifndef ORIOLEFALL_BENCH_CHILD_PROCESS_HPP
#define ORIOLEFALL_BENCH_CHILD_PROCESS_HPP

#include "oriolefall/core/duty_thread.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace oriolefall::bench {

/// What to start.
struct child_command
{
    /// Path of the program, then its arguments.
    std::vector<std::string> words;
    /// File that takes its standard error, added at the end.
    std::string log_path;
    /// File that takes its standard output, added at the end; when empty, the
    /// first line is read by `await_port`.
    std::string output_path;
    auto operator<=>(const child_command&) const = default;
};

/// A process of the fleet under test. It is killed when this object or the
/// thread that started it ends. One thread.
class child_process
{
public:
    /// Throws std::system_error when it cannot be started.
    explicit child_process(const child_command& command);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Waits for its first line and gives the port named there; 0 when it
    /// ended or wrote something else.
    [[nodiscard]] std::uint16_t await_port();
    void send_signal(int signal) const;
    /// Waits until it has ended; its exit status, or 128 and the signal.
    int await_exit();
    [[nodiscard]] bool has_ended();
    /// Processor time that it has used since its start.
    [[nodiscard]] absl::Duration processor_time() const;
    [[nodiscard]] pid_t pid() const noexcept
    {
        return pid_;
    }

private:
    pid_t pid_ = -1;
    int output_ = -1;
    std::optional<int> status_;
    /// Reads what follows the first line, so that the process never blocks.
    std::optional<core::duty_thread> drain_;
};

} // namespace oriolefall::bench

#endif

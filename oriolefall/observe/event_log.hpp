#ifndef ORIOLEFALL_OBSERVE_EVENT_LOG_HPP
#define ORIOLEFALL_OBSERVE_EVENT_LOG_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace oriolefall::observe {

/// Name and value of one field of a log line.
using log_field = std::pair<std::string_view, std::string_view>;

struct event_log_settings
{
    /// Instance that writes the log. It is part of each line, because the logs
    /// of several instances are read together.
    std::string instance;
    /// Maximum number of lines that wait for the writer thread.
    std::size_t max_queued_lines = 2048;
};

/// Writes events as JSON lines from a thread of its own. Logging never blocks
/// the calling thread: if the queue is full, the line is dropped and counted,
/// and the count is logged later. Thread-safe.
class event_log
{
public:
    using write_hook = std::function<void(const std::string&)>;

    event_log(event_log_settings settings, write_hook write);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void write(std::string_view event, std::initializer_list<log_field> fields);
    /// Writes an event that happened at the wall-clock time `at`.
    void write_at(absl::Time at, std::string_view event,
                  std::span<const log_field> fields);
    /// Number of lines dropped so far because the queue was full.
    [[nodiscard]] std::uint64_t dropped_lines() const;

private:
    void run();
    [[nodiscard]] std::string
    format_line(absl::Time at, std::string_view event,
                std::span<const log_field> fields) const;

    event_log_settings settings_;
    write_hook write_;
    core::bounded_ring<std::string> lines_;
    std::atomic<std::uint64_t> dropped_lines_ = 0;
    std::optional<core::duty_thread> thread_;
};

/// Returns a hook that writes to standard output.
[[nodiscard]] event_log::write_hook standard_output_writer();

} // namespace oriolefall::observe

#endif

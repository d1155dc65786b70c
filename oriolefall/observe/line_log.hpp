#ifndef ORIOLEFALL_OBSERVE_LINE_LOG_HPP
#define ORIOLEFALL_OBSERVE_LINE_LOG_HPP

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

/// One name and value of a log line.
using log_field = std::pair<std::string_view, std::string_view>;

struct line_log_settings
{
    /// Whose lines these are; in each line, as logs of many are read together.
    std::string instance;
    /// Lines that wait for the writer at most.
    std::size_t waiting_lines = 2048;
};

/// Writes JSON lines to a stream from a thread of its own. Writing never
/// blocks who logs: without room a line is dropped and counted, and the count
/// is logged. Any thread.
class line_log
{
public:
    using write_hook = std::function<void(const std::string&)>;

    line_log(line_log_settings settings, write_hook write);
    ~line_log();
    line_log(const line_log&) = delete;
    line_log& operator=(const line_log&) = delete;

    void write(std::string_view event, std::initializer_list<log_field> fields);
    /// For what happened at `at`, by the time of day.
    void write_at(absl::Time at, std::string_view event,
                  std::span<const log_field> fields);
    /// Lines that found no room, so far.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void run();
    [[nodiscard]] std::string line_of(absl::Time at, std::string_view event,
                                      std::span<const log_field> fields) const;

    line_log_settings settings_;
    write_hook write_;
    core::bounded_ring<std::string> lines_;
    std::atomic<std::uint64_t> dropped_ = 0;
    std::optional<core::duty_thread> thread_;
};

/// Writes to standard output.
[[nodiscard]] line_log::write_hook standard_output();

} // namespace oriolefall::observe

#endif

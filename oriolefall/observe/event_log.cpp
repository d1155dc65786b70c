#include "oriolefall/observe/event_log.hpp"

#include "oriolefall/observe/log_time.hpp"

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace oriolefall::observe {

event_log::event_log(event_log_settings settings, write_hook write)
    : settings_(std::move(settings)), write_(std::move(write)),
      lines_(settings_.max_queued_lines)
{
    thread_.emplace(
        "log", [this] { run(); }, core::small_stack_bytes);
}

event_log::~event_log()
{
    lines_.close();
    thread_.reset();
}

void event_log::write(std::string_view event,
                      std::initializer_list<log_field> fields)
{
    write_at(absl::Now(), event, {fields.begin(), fields.size()});
}

void event_log::write_at(absl::Time at, std::string_view event,
                         std::span<const log_field> fields)
{
    if (!lines_.try_push(format_line(at, event, fields)))
        ++dropped_lines_;
}

std::uint64_t event_log::dropped_lines() const
{
    return dropped_lines_;
}

std::string event_log::format_line(absl::Time at, std::string_view event,
                                   std::span<const log_field> fields) const
{
    nlohmann::ordered_json line;
    line["at"] = format_log_time(at);
    line["instance"] = settings_.instance;
    line["event"] = event;
    std::ranges::for_each(fields, [&line](const log_field& field) {
        line[std::string(field.first)] = field.second;
    });
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n";
}

void event_log::run()
{
    std::uint64_t reported = 0;
    while (auto line = lines_.pop()) {
        write_(*line);
        const std::uint64_t dropped = dropped_lines_;
        if (dropped == reported)
            continue;
        const std::string count = std::to_string(dropped - reported);
        const log_field field{"count", count};
        write_(format_line(absl::Now(), "log_lines_dropped", {&field, 1}));
        reported = dropped;
    }
}

event_log::write_hook standard_output_writer()
{
    return [](const std::string& line) {
        std::size_t offset = 0;
        while (offset < line.size()) {
            const ssize_t written = ::write(STDOUT_FILENO, line.data() + offset,
                                            line.size() - offset);
            // Standard output cannot be written; there is nowhere to report it.
            if (written <= 0)
                return;
            offset += static_cast<std::size_t>(written);
        }
    };
}

} // namespace oriolefall::observe

#include "oriolefall/observe/line_log.hpp"

#include "oriolefall/observe/time_text.hpp"

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace oriolefall::observe {

line_log::line_log(line_log_settings settings, write_hook write)
    : settings_(std::move(settings)), write_(std::move(write)),
      lines_(settings_.waiting_lines)
{
    thread_.emplace(
        "log", [this] { run(); }, core::small_stack_bytes);
}

line_log::~line_log()
{
    lines_.close();
    thread_.reset();
}

void line_log::write(std::string_view event,
                     std::initializer_list<log_field> fields)
{
    write_at(absl::Now(), event, {fields.begin(), fields.size()});
}

void line_log::write_at(absl::Time at, std::string_view event,
                        std::span<const log_field> fields)
{
    if (!lines_.try_push(line_of(at, event, fields)))
        ++dropped_;
}

std::uint64_t line_log::dropped() const
{
    return dropped_;
}

std::string line_log::line_of(absl::Time at, std::string_view event,
                              std::span<const log_field> fields) const
{
    nlohmann::ordered_json line;
    line["at"] = time_text(at);
    line["instance"] = settings_.instance;
    line["event"] = event;
    std::ranges::for_each(fields, [&line](const log_field& field) {
        line[std::string(field.first)] = field.second;
    });
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n";
}

void line_log::run()
{
    std::uint64_t told = 0;
    while (auto line = lines_.pop()) {
        write_(*line);
        const std::uint64_t dropped = dropped_;
        if (dropped == told)
            continue;
        const std::string count = std::to_string(dropped - told);
        const log_field field{"count", count};
        write_(line_of(absl::Now(), "log_lines_dropped", {&field, 1}));
        told = dropped;
    }
}

line_log::write_hook standard_output()
{
    return [](const std::string& line) {
        std::size_t at = 0;
        while (at < line.size()) {
            const ssize_t written =
                ::write(STDOUT_FILENO, line.data() + at, line.size() - at);
            // Nobody reads the log: there is no other place to tell it.
            if (written <= 0)
                return;
            at += static_cast<std::size_t>(written);
        }
    };
}

} // namespace oriolefall::observe

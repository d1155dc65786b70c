#include "oriolefall/observe/line_log.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/text.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace oriolefall::observe {

namespace {

std::string line_of(std::string_view event,
                    std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line;
    line["at"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                                  absl::UTCTimeZone());
    line["event"] = event;
    std::ranges::for_each(fields, [&line](const log_field& field) {
        line[std::string(field.first)] = field.second;
    });
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n";
}

} // namespace

line_log::line_log(line_log_settings settings, write_hook write)
    : settings_(settings), write_(std::move(write)),
      lines_(settings.waiting_lines)
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
    push(event, fields);
}

void line_log::write_routine(std::string_view event,
                             std::initializer_list<log_field> fields)
{
    if (is_thinned_out())
        ++thinned_;
    else
        push(event, fields);
}

void line_log::push(std::string_view event,
                    std::initializer_list<log_field> fields)
{
    if (!lines_.try_push(line_of(event, fields)))
        ++dropped_;
}

bool line_log::is_thinned_out()
{
    const std::int64_t second = absl::ToUnixSeconds(core::monotonic_now());
    if (second_.exchange(second) != second)
        in_second_ = 0;
    return ++in_second_ > settings_.routine_per_second;
}

void line_log::run()
{
    while (auto line = lines_.pop()) {
        write_(*line);
        const auto dropped = dropped_.exchange(0);
        if (dropped > 0)
            write_(line_of("log_lines_dropped",
                           {{"count", std::to_string(dropped)}}));
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

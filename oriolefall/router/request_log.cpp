#include "oriolefall/router/request_log.hpp"

#include <absl/strings/str_cat.h>

#include <string>
#include <string_view>
#include <utility>

namespace oriolefall::router {

namespace {

/// Notes of a request that went well at its first server.
constexpr std::size_t plain_path = 2;

std::string in_ms(absl::Duration time)
{
    return absl::StrCat(absl::ToInt64Milliseconds(time));
}

/// The fields of one line; the texts stay where they are until it is written.
class line_fields
{
public:
    void add(std::string_view name, std::string value)
    {
        values_.emplace_back(name, std::move(value));
    }

    void add_number(std::string_view name, std::uint64_t value)
    {
        if (value != 0)
            add(name, absl::StrCat(value));
    }

    void write_to(observe::event_log& log, absl::Time at,
                  std::string_view event) const
    {
        std::vector<observe::log_field> fields;
        fields.reserve(values_.size());
        for (const auto& [name, value] : values_)
            fields.emplace_back(name, value);
        log.write_at(at, event, fields);
    }

private:
    std::vector<std::pair<std::string_view, std::string>> values_;
};

} // namespace

request_log::request_log(request_log_settings settings, observe::event_log& log)
    : settings_(settings), log_(log)
{
}

void request_log::note(absl::Time now, const dispatch::decision_record& value)
{
    const std::uint64_t id = value.id.value();
    const auto [found, is_new] = open_.try_emplace(id);
    open_request& request = found->second;
    if (is_new)
        request.is_direct = may_write_directly(now);
    if (request.is_direct)
        write(now, value);
    else
        request.held.push_back({now, value});
    if (dispatch::ends_request(value.outcome))
        end(now, id, request);
    write_summary(now);
}

void request_log::note(absl::Time now, const dispatch::ejection_change& value)
{
    line_fields fields;
    fields.add("server", value.server.value());
    fields.add("failed_percent", absl::StrCat(value.failed_percent));
    if (value.is_ejected)
        fields.add("for_ms", in_ms(value.ejection_time));
    fields.write_to(log_, now, value.is_ejected ? "server_out" : "server_back");
}

bool request_log::may_write_directly(absl::Time now)
{
    const std::int64_t second = absl::ToUnixSeconds(now);
    if (std::exchange(second_, second) != second)
        in_second_ = 0;
    return ++in_second_ <= settings_.direct_per_second;
}

void request_log::end(absl::Time now, std::uint64_t id,
                      const open_request& over)
{
    const bool is_told =
        !over.held.empty() &&
        (dispatch::is_failure(over.held.back().value.outcome) ||
         over.held.size() > plain_path);
    if (is_told)
        for (const held_note& each : over.held)
            write(each.at, each.value);
    else if (!over.is_direct)
        ++left_out_;
    if (summary_at_ == absl::InfinitePast())
        summary_at_ = now + settings_.summary_interval;
    open_.erase(id);
}

void request_log::write(absl::Time at, const dispatch::decision_record& value)
{
    line_fields fields;
    fields.add("request", absl::StrCat(value.id.value()));
    fields.add("attempt", value.caller_request_id);
    fields.add("outcome", std::string(dispatch::to_string(value.outcome)));
    if (!value.cause.empty())
        fields.add("cause", std::string(value.cause));
    fields.add_number("status", static_cast<std::uint64_t>(value.status));
    fields.add("after_ms", in_ms(value.since_arrival));
    fields.add_number("settings", value.settings_version);
    if (!value.server.value().empty())
        fields.add("server", value.server.value());
    fields.add_number("servers_tried", value.servers_tried);
    if (value.outcome == dispatch::decision::sent) {
        fields.add("expected_ms", in_ms(value.expected_time));
        fields.add("own_calls", absl::StrCat(value.own_calls));
        fields.add("other_calls", absl::StrCat(value.other_calls));
        fields.add_number("prompt_tokens", value.prompt_tokens);
        fields.add_number("to_read", value.uncached_tokens);
    } else if (value.outcome == dispatch::decision::answered) {
        fields.add("first_ms", in_ms(value.first_event_time));
        fields.add_number("events", value.events);
        if (value.is_stream)
            fields.add("gap_ms", in_ms(value.longest_gap));
    }
    fields.write_to(log_, at, "request");
}

void request_log::write_summary(absl::Time now)
{
    if (left_out_ == 0 || now < summary_at_)
        return;
    summary_at_ = now + settings_.summary_interval;
    const std::string count =
        absl::StrCat(std::exchange(left_out_, std::uint64_t{0}));
    log_.write("requests_left_out", {{"count", count}});
}

} // namespace oriolefall::router

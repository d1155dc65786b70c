#include "oriolefall/router/request_log.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <ranges>
#include <string>
#include <string_view>
#include <utility>

namespace oriolefall::router {

namespace {

/// Number of decision records, without that of its queueing, of a request that
/// succeeded with its first call.
constexpr std::size_t single_call_record_count = 2;

std::string format_ms(absl::Duration time)
{
    return absl::StrCat(absl::ToInt64Milliseconds(time));
}

/// Hexadecimal ids, of which a log entry has room for a few.
std::string format_parts(const std::vector<std::uint64_t>& ids)
{
    constexpr std::size_t max_parts = 8;
    return absl::StrJoin(ids | std::views::take(max_parts), ",",
                         [](std::string* out, std::uint64_t id) {
                             absl::StrAppend(out, absl::Hex(id));
                         });
}

/// Fields of a log entry. Owns the values, which `observe::log_field` only
/// refers to.
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

void add_broken(line_fields& fields,
                const dispatch::broken_call_details& details)
{
    if (!details.fault.empty())
        fields.add("fault", std::string(details.fault));
    fields.add_number("events", details.events);
    fields.add_number("resumed_after", details.resumed_after);
    fields.add_number("last_event", details.last_event);
    fields.add_number("earlier_calls", details.earlier_calls);
}

void add_queue(line_fields& fields, const dispatch::decision_record& record)
{
    using dispatch::decision;
    if (record.outcome == decision::queued) {
        fields.add("tier", absl::StrCat(record.tier));
        fields.add("position", absl::StrCat(record.position));
    }
    if (record.outcome == decision::queued ||
        (record.outcome == decision::refused &&
         record.expected_wait > absl::ZeroDuration()))
        fields.add("expected_wait_ms", format_ms(record.expected_wait));
    if (!record.service.value().empty() &&
        (record.outcome == decision::sent ||
         record.outcome == decision::refused))
        fields.add("waited_ms", format_ms(record.waited));
}

} // namespace

request_log::request_log(request_log_settings settings, observe::event_log& log)
    : settings_(settings), log_(log)
{
}

void request_log::log(absl::Time now, const dispatch::decision_record& record)
{
    const std::uint64_t id = record.id.value();
    const auto [found, is_new] = open_requests_.try_emplace(id);
    open_request& request = found->second;
    if (is_new)
        request.is_written_directly = may_write_directly(now);
    if (request.is_written_directly)
        write(now, record);
    else
        request.buffered.push_back({now, record});
    if (dispatch::ends_request(record.outcome))
        finish_request(now, id, request);
    write_summary(now);
}

void request_log::log(absl::Time now, const dispatch::ejection_change& change)
{
    line_fields fields;
    fields.add("server", change.server.value());
    fields.add("failed_percent", absl::StrCat(change.failed_percent));
    if (change.is_ejected)
        fields.add("for_ms", format_ms(change.ejection_time));
    fields.write_to(log_, now,
                    change.is_ejected ? "server_out" : "server_back");
}

void request_log::log(absl::Time now, const dispatch::quarantine_change& change)
{
    line_fields fields;
    fields.add("parts", format_parts(change.parts));
    fields.add_number("crashes", change.crashes);
    if (change.is_quarantined)
        fields.add("for_ms", format_ms(change.time_left));
    fields.write_to(log_, now,
                    change.is_quarantined ? "prompt_quarantined"
                                          : "prompt_released");
}

void request_log::log(absl::Time now, const dispatch::rate_limit_change& change)
{
    line_fields fields;
    fields.add("server", change.server.value());
    if (change.rate_limit)
        fields.add("per_s", absl::StrCat(*change.rate_limit));
    fields.write_to(log_, now,
                    change.rate_limit ? "server_limited" : "server_unlimited");
}

void request_log::log(absl::Time now, const dispatch::notice_record& notice)
{
    line_fields fields;
    fields.add("server", notice.server.value());
    fields.add("kind", std::string(dispatch::to_string(notice.kind)));
    fields.add_number("for_ms",
                      static_cast<std::uint64_t>(
                          absl::ToInt64Milliseconds(notice.quiet_time)));
    fields.write_to(log_, now, "server_notice");
}

bool request_log::may_write_directly(absl::Time now)
{
    const std::int64_t second = absl::ToUnixSeconds(now);
    if (std::exchange(current_second_, second) != second)
        direct_in_second_ = 0;
    return ++direct_in_second_ <= settings_.direct_requests_per_second;
}

void request_log::finish_request(absl::Time now, std::uint64_t id,
                                 const open_request& request)
{
    const bool was_queued =
        !request.buffered.empty() &&
        request.buffered.front().record.outcome == dispatch::decision::queued;
    const bool is_logged =
        !request.buffered.empty() &&
        (dispatch::is_failure(request.buffered.back().record.outcome) ||
         request.buffered.size() >
             single_call_record_count + (was_queued ? 1 : 0));
    if (is_logged)
        for (const buffered_record& entry : request.buffered)
            write(entry.logged_at, entry.record);
    else if (!request.is_written_directly)
        ++omitted_count_;
    if (next_summary_at_ == absl::InfinitePast())
        next_summary_at_ = now + settings_.summary_interval;
    open_requests_.erase(id);
}

void request_log::write(absl::Time at, const dispatch::decision_record& record)
{
    line_fields fields;
    fields.add("request", absl::StrCat(record.id.value()));
    fields.add("attempt", record.caller_request_id);
    fields.add("outcome", std::string(dispatch::to_string(record.outcome)));
    if (!record.cause.empty())
        fields.add("cause", std::string(record.cause));
    fields.add_number("status", static_cast<std::uint64_t>(record.status));
    fields.add("after_ms", format_ms(record.since_arrival));
    fields.add_number("settings", record.settings_version);
    if (!record.server.value().empty())
        fields.add("server", record.server.value());
    fields.add_number("servers_tried", record.servers_tried);
    add_queue(fields, record);
    if (record.outcome == dispatch::decision::sent) {
        fields.add("expected_ms", format_ms(record.expected_time));
        fields.add("own_calls", absl::StrCat(record.own_calls));
        fields.add("other_calls", absl::StrCat(record.other_calls));
        fields.add_number("prompt_tokens", record.prompt_tokens);
        fields.add_number("to_read", record.uncached_tokens);
    } else if (record.outcome == dispatch::decision::broken) {
        fields.add("answer_begun", record.had_answer_begun ? "yes" : "no");
        add_broken(fields, record.broken);
        if (!record.shared_parts.empty())
            fields.add("shared_parts", format_parts(record.shared_parts));
    } else if (record.outcome == dispatch::decision::answered) {
        fields.add("first_ms", format_ms(record.first_event_time));
        fields.add_number("events", record.events);
        if (record.is_stream)
            fields.add("gap_ms", format_ms(record.longest_gap));
    }
    fields.write_to(log_, at, "request");
}

void request_log::write_summary(absl::Time now)
{
    if (omitted_count_ == 0 || now < next_summary_at_)
        return;
    next_summary_at_ = now + settings_.summary_interval;
    const std::string count =
        absl::StrCat(std::exchange(omitted_count_, std::uint64_t{0}));
    log_.write("requests_left_out", {{"count", count}});
}

} // namespace oriolefall::router

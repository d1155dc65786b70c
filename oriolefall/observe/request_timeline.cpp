#include "oriolefall/observe/request_timeline.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <istream>
#include <iterator>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace oriolefall::observe {

namespace {

using json = nlohmann::ordered_json;

/// State changes up to this long before the first decision are included.
constexpr absl::Duration lookback_time = absl::Seconds(5);

constexpr std::array<std::string_view, 12> state_events{
    "settings_in_force", "settings_unreadable",
    "servers_known",     "server_out",
    "server_back",       "store_lost",
    "store_back",        "peer_lost",
    "peer_known",        "started",
    "leaving",           "stopped"};
constexpr std::array<std::string_view, 4> final_outcomes{
    "answered", "passed_failure", "caller_left", "refused"};

template <class Names>
bool contains(const Names& names, std::string_view name)
{
    return std::ranges::find(names, name) != std::ranges::end(names);
}

std::string to_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::optional<log_line> parse_line(const std::string& text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object() || !object.contains("at") ||
        !object.contains("event"))
        return std::nullopt;
    log_line line;
    for (const auto& [name, field] : object.items()) {
        const std::string value_text = to_text(field);
        if (name == "at")
            line.at = value_text;
        else if (name == "instance")
            line.instance = value_text;
        else if (name == "event")
            line.event = value_text;
        else if (name == "attempt")
            line.caller_request_id = value_text;
        else
            absl::StrAppend(&line.fields, line.fields.empty() ? "" : " ", name,
                            "=", value_text);
        if (name == "outcome")
            line.outcome = value_text;
        if (name == "server")
            line.server = value_text;
    }
    return line;
}

absl::Time parse_time(const log_line& line)
{
    absl::Time at;
    std::string error;
    return absl::ParseTime(absl::RFC3339_full, line.at, &at, &error)
               ? at
               : absl::InfinitePast();
}

bool is_final(const log_line& line)
{
    return contains(final_outcomes, line.outcome);
}

/// Selects the log lines that show the state around a request: the last known
/// settings and servers before it at the instances that handled it, and the
/// changes until its end.
class timeline_context
{
public:
    explicit timeline_context(const std::vector<log_line>& request_lines)
        : begin_(parse_time(request_lines.front()) - lookback_time),
          end_(parse_time(request_lines.back()))
    {
        for (const log_line& each : request_lines) {
            instances_.insert(each.instance);
            servers_.insert(each.server);
        }
    }

    [[nodiscard]] bool includes(const log_line& line) const
    {
        const absl::Time at = parse_time(line);
        const bool is_server_event =
            line.event == "server_out" || line.event == "server_back";
        // Settings at other instances show what an instance had not received
        // yet.
        const bool is_relevant_instance = instances_.contains(line.instance) ||
                                          line.event == "settings_in_force";
        return contains(state_events, line.event) && is_relevant_instance &&
               at >= begin_ && at <= end_ &&
               (!is_server_event || servers_.contains(line.server));
    }

    /// Appends the last line of each kind before the included time span.
    void append_earlier_state(const std::vector<log_line>& all,
                              std::vector<log_line>& out) const
    {
        for (const std::string& instance : instances_)
            for (const std::string_view event :
                 {"settings_in_force", "servers_known", "started"}) {
                const log_line* newest = nullptr;
                for (const log_line& each : all)
                    if (each.instance == instance && each.event == event &&
                        parse_time(each) < begin_)
                        newest = &each;
                if (newest != nullptr)
                    out.push_back(*newest);
            }
    }

    [[nodiscard]] const std::set<std::string>& instances() const
    {
        return instances_;
    }

private:
    std::set<std::string> instances_;
    std::set<std::string> servers_;
    absl::Time begin_;
    absl::Time end_;
};

void report_missing_end(const std::vector<log_line>& all, const log_line& last,
                        std::vector<std::string>& missing)
{
    if (is_final(last))
        return;
    const auto restart = std::ranges::find_if(all, [&last](const auto& each) {
        return each.instance == last.instance && each.event == "started" &&
               each.at > last.at;
    });
    missing.push_back(
        restart != all.end()
            ? absl::StrCat("no end: ", last.instance, " restarted at ",
                           restart->at,
                           ", so the process that handled the "
                           "request had ended")
            : absl::StrCat("no end: no later line of this request in the "
                           "log of ",
                           last.instance));
}

void report_dropped_lines(const std::vector<log_line>& all,
                          const std::set<std::string>& instances,
                          std::vector<std::string>& missing)
{
    for (const log_line& each : all)
        if (each.event == "log_lines_dropped" &&
            instances.contains(each.instance))
            missing.push_back(absl::StrCat(each.instance,
                                           " dropped log lines until ", each.at,
                                           " (", each.fields, ")"));
}

std::string explain_absence(const std::vector<log_line>& all)
{
    const auto omitted = std::ranges::count(
        all, std::string("requests_left_out"), &log_line::event);
    return omitted == 0
               ? "no line names this request: it reached none of these "
                 "instances, or the logs are incomplete"
               : "no line names this request: it succeeded and was omitted "
                 "under load, or it reached none of these instances";
}

} // namespace

request_timeline find_request_timeline(std::istream& logs,
                                       const std::string& caller_request_id)
{
    request_timeline timeline;
    std::vector<log_line> all;
    for (std::string text; std::getline(logs, text);) {
        if (auto line = parse_line(text))
            all.push_back(std::move(*line));
        else if (!text.empty())
            ++timeline.unreadable_lines;
    }
    // A stable sort retains the order of lines of one instance with equal
    // times.
    std::ranges::stable_sort(all, {}, &log_line::at);
    std::vector<log_line> request_lines;
    std::ranges::copy_if(all, std::back_inserter(request_lines),
                         [&](const auto& each) {
                             return each.caller_request_id == caller_request_id;
                         });
    if (request_lines.empty()) {
        timeline.missing.push_back(explain_absence(all));
        return timeline;
    }
    const timeline_context context(request_lines);
    context.append_earlier_state(all, timeline.lines);
    std::ranges::copy_if(
        all, std::back_inserter(timeline.lines), [&](const log_line& each) {
            return each.caller_request_id == caller_request_id ||
                   context.includes(each);
        });
    report_missing_end(all, request_lines.back(), timeline.missing);
    report_dropped_lines(all, context.instances(), timeline.missing);
    return timeline;
}

std::string format_timeline(const request_timeline& timeline)
{
    std::string text;
    for (const log_line& each : timeline.lines)
        absl::StrAppend(&text, each.caller_request_id.empty() ? "  " : "* ",
                        each.at, " ", each.instance, " ", each.event, " ",
                        each.fields, "\n");
    for (const std::string& each : timeline.missing)
        absl::StrAppend(&text, "missing: ", each, "\n");
    if (timeline.unreadable_lines > 0)
        absl::StrAppend(&text, "missing: ", timeline.unreadable_lines,
                        " lines could not be read\n");
    return text;
}

} // namespace oriolefall::observe

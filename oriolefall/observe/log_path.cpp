#include "oriolefall/observe/log_path.hpp"

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

/// What was believed this long before the first decision is shown as well.
constexpr absl::Duration context = absl::Seconds(5);

constexpr std::array<std::string_view, 12> beliefs{
    "settings_in_force", "settings_unreadable",
    "servers_known",     "server_out",
    "server_back",       "store_lost",
    "store_back",        "peer_lost",
    "peer_known",        "started",
    "leaving",           "stopped"};
constexpr std::array<std::string_view, 4> endings{"answered", "passed_failure",
                                                  "caller_left", "refused"};

template <class Names>
bool contains(const Names& names, std::string_view name)
{
    return std::ranges::find(names, name) != std::ranges::end(names);
}

std::string text_of(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::optional<log_line> parse_line(const std::string& text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("at") || !value.contains("event"))
        return std::nullopt;
    log_line line;
    for (const auto& [name, field] : value.items()) {
        const std::string told = text_of(field);
        if (name == "at")
            line.at = told;
        else if (name == "instance")
            line.instance = told;
        else if (name == "event")
            line.event = told;
        else if (name == "attempt")
            line.attempt = told;
        else
            absl::StrAppend(&line.fields, line.fields.empty() ? "" : " ", name,
                            "=", told);
        if (name == "outcome")
            line.outcome = told;
        if (name == "server")
            line.server = told;
    }
    return line;
}

absl::Time time_of(const log_line& line)
{
    absl::Time at;
    std::string fault;
    return absl::ParseTime(absl::RFC3339_full, line.at, &at, &fault)
               ? at
               : absl::InfinitePast();
}

bool ends(const log_line& line)
{
    return contains(endings, line.outcome);
}

/// The last settings and servers known before a request, and what changed
/// until its end, at the instances that had it.
class surroundings
{
public:
    explicit surroundings(const std::vector<log_line>& path)
        : from_(time_of(path.front()) - context), to_(time_of(path.back()))
    {
        for (const log_line& each : path) {
            instances_.insert(each.instance);
            servers_.insert(each.server);
        }
    }

    [[nodiscard]] bool shows(const log_line& line) const
    {
        const absl::Time at = time_of(line);
        const bool is_of_server =
            line.event == "server_out" || line.event == "server_back";
        // Others show what an instance had not heard yet.
        const bool is_near = instances_.contains(line.instance) ||
                             line.event == "settings_in_force";
        return contains(beliefs, line.event) && is_near && at >= from_ &&
               at <= to_ && (!is_of_server || servers_.contains(line.server));
    }

    /// The newest of each kind before the time shown.
    void add_older(const std::vector<log_line>& all,
                   std::vector<log_line>& out) const
    {
        for (const std::string& instance : instances_)
            for (const std::string_view event :
                 {"settings_in_force", "servers_known", "started"}) {
                const log_line* newest = nullptr;
                for (const log_line& each : all)
                    if (each.instance == instance && each.event == event &&
                        time_of(each) < from_)
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
    absl::Time from_;
    absl::Time to_;
};

void tell_missing_end(const std::vector<log_line>& all, const log_line& last,
                      std::vector<std::string>& missing)
{
    if (ends(last))
        return;
    const auto after = std::ranges::find_if(all, [&last](const auto& each) {
        return each.instance == last.instance && each.event == "started" &&
               each.at > last.at;
    });
    missing.push_back(
        after != all.end()
            ? absl::StrCat("no end: ", last.instance, " started anew at ",
                           after->at, ", so its process was ended before")
            : absl::StrCat("no end: nothing further of it in the log of ",
                           last.instance));
}

void tell_dropped(const std::vector<log_line>& all,
                  const std::set<std::string>& instances,
                  std::vector<std::string>& missing)
{
    for (const log_line& each : all)
        if (each.event == "log_lines_dropped" &&
            instances.contains(each.instance))
            missing.push_back(absl::StrCat(each.instance,
                                           " had no room for lines until ",
                                           each.at, " (", each.fields, ")"));
}

std::string told_absence(const std::vector<log_line>& all)
{
    const auto left_out = std::ranges::count(
        all, std::string("requests_left_out"), &log_line::event);
    return left_out == 0
               ? "no line names this request: it reached none of these "
                 "instances, or their logs are not all here"
               : "no line names this request: it went well and was left out "
                 "under load, or it reached none of these instances";
}

} // namespace

log_path find_log_path(std::istream& logs, const std::string& attempt)
{
    log_path path;
    std::vector<log_line> all;
    for (std::string text; std::getline(logs, text);) {
        if (auto line = parse_line(text))
            all.push_back(std::move(*line));
        else if (!text.empty())
            ++path.unreadable;
    }
    // Lines of one instance at one moment keep their order.
    std::ranges::stable_sort(all, {}, &log_line::at);
    std::vector<log_line> own;
    std::ranges::copy_if(all, std::back_inserter(own), [&](const auto& each) {
        return each.attempt == attempt;
    });
    if (own.empty()) {
        path.missing.push_back(told_absence(all));
        return path;
    }
    const surroundings around(own);
    around.add_older(all, path.lines);
    std::ranges::copy_if(
        all, std::back_inserter(path.lines), [&](const log_line& each) {
            return each.attempt == attempt || around.shows(each);
        });
    tell_missing_end(all, own.back(), path.missing);
    tell_dropped(all, around.instances(), path.missing);
    return path;
}

std::string print(const log_path& path)
{
    std::string text;
    for (const log_line& each : path.lines)
        absl::StrAppend(&text, each.attempt.empty() ? "  " : "* ", each.at, " ",
                        each.instance, " ", each.event, " ", each.fields, "\n");
    for (const std::string& each : path.missing)
        absl::StrAppend(&text, "missing: ", each, "\n");
    if (path.unreadable > 0)
        absl::StrAppend(&text, "missing: ", path.unreadable,
                        " lines could not be read\n");
    return text;
}

} // namespace oriolefall::observe

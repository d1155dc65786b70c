#include "oriolefall/dispatch/crash_history.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Maximum number of crashes in one report.
constexpr std::size_t max_reported_crashes = 32;

reported_crash make_reported(absl::Time now, const server_incarnation& server,
                             const remembered_crash& crash)
{
    return {server, now - crash.crashed_at,
            std::vector(crash.parts.begin(), crash.parts.end()),
            crash.is_refuted};
}

} // namespace

crash_history::crash_history(const quarantine_settings& settings)
    : settings_(settings), answered_(settings.max_answered_parts)
{
}

bool crash_history::record_crash(absl::Time now,
                                 const server_incarnation& server,
                                 std::span<const std::uint64_t> parts)
{
    if (parts.empty())
        return false;
    const auto [found, is_new] =
        crashes_.try_emplace(server, remembered_crash{now, {}, false});
    const bool has_changed = add_parts(server, found->second, parts);
    drop_oldest();
    return has_changed;
}

bool crash_history::add_parts(const server_incarnation& server,
                              remembered_crash& crash,
                              std::span<const std::uint64_t> parts)
{
    const std::size_t size_before = crash.parts.size();
    for (const std::uint64_t part : parts)
        if (crash.parts.size() < settings_.max_parts_per_crash)
            crash.parts.insert(part);
    const bool has_changed = crash.parts.size() > size_before;
    if (has_changed)
        changed_crashes_.insert(server);
    return has_changed;
}

bool crash_history::record_answer(std::uint64_t part, absl::Time answered_at)
{
    const absl::Time before = answered_.last_answer(part);
    answered_.record(part, answered_at);
    if (crashes_.empty() || !is_involved(part))
        return false;
    const bool is_first = before == absl::InfinitePast();
    if (!is_first && !has_crash_between(part, before, answered_at))
        return false;
    changed_answers_.insert(part);
    return true;
}

bool crash_history::record_alive(absl::Time now,
                                 const server_incarnation& server)
{
    const auto found = crashes_.find(server);
    if (found == crashes_.end() || found->second.is_refuted)
        return false;
    const absl::Duration since_crash = now - found->second.crashed_at;
    if (since_crash < settings_.refutation_start ||
        since_crash > settings_.refutation_end)
        return false;
    found->second.is_refuted = true;
    changed_crashes_.insert(server);
    return true;
}

bool crash_history::merge(absl::Time now, const crash_report& report)
{
    // In this order, what was known here of an answer is compared with what
    // the sender knew.
    std::map<std::uint64_t, absl::Time> answered_there;
    for (const answered_part& each : report.answered)
        answered_there.emplace(each.part, now - each.age);
    bool has_changed = false;
    for (const reported_crash& crash :
         report.crashes | std::views::take(max_reported_crashes)) {
        has_changed = merge_crash(now, crash) || has_changed;
        for (const std::uint64_t part : crash.parts) {
            const absl::Time here = answered_.last_answer(part);
            const auto there = answered_there.find(part);
            const absl::Time crashed_at = now - crash.age;
            const bool is_news =
                here != absl::InfinitePast() &&
                (there == answered_there.end() ||
                 (here > crashed_at && there->second <= crashed_at));
            if (is_news && is_involved(part))
                changed_answers_.insert(part);
        }
    }
    for (const auto& [part, answered_at] : answered_there)
        has_changed = record_answer(part, answered_at) || has_changed;
    drop_oldest();
    return has_changed;
}

bool crash_history::merge_crash(absl::Time now, const reported_crash& reported)
{
    if (reported.age > settings_.crash_lifetime)
        return false;
    const absl::Time crashed_at = now - reported.age;
    const auto [found, is_new] = crashes_.try_emplace(
        reported.server, remembered_crash{crashed_at, {}, false});
    remembered_crash& crash = found->second;
    // The time that a report takes makes a crash look more recent.
    bool has_changed = crashed_at < crash.crashed_at;
    crash.crashed_at = std::min(crash.crashed_at, crashed_at);
    has_changed =
        add_parts(reported.server, crash, reported.parts) || has_changed;
    if (reported.is_refuted && !std::exchange(crash.is_refuted, true)) {
        changed_crashes_.insert(reported.server);
        has_changed = true;
    }
    return has_changed;
}

bool crash_history::expire(absl::Time now)
{
    const auto dropped = std::erase_if(crashes_, [&](const auto& each) {
        return now - each.second.crashed_at > settings_.crash_lifetime;
    });
    return dropped > 0;
}

void crash_history::drop_oldest()
{
    while (crashes_.size() > settings_.max_crashes) {
        const auto oldest =
            std::ranges::min_element(crashes_, {}, [](const auto& each) {
                return each.second.crashed_at;
            });
        changed_crashes_.erase(oldest->first);
        crashes_.erase(oldest);
    }
}

std::map<std::uint64_t, std::set<crash_key>>
crash_history::unanswered_crashes() const
{
    std::map<std::uint64_t, std::set<crash_key>> crashes;
    for (const auto& [server, crash] : crashes_) {
        if (crash.is_refuted)
            continue;
        for (const std::uint64_t part : crash.parts)
            if (answered_.last_answer(part) <= crash.crashed_at)
                crashes[part].insert({crash.crashed_at, server});
    }
    return crashes;
}

bool crash_history::was_answered(std::uint64_t part) const
{
    return answered_.last_answer(part) != absl::InfinitePast();
}

bool crash_history::is_empty() const
{
    return crashes_.empty();
}

bool crash_history::is_involved(std::uint64_t part) const
{
    return std::ranges::any_of(crashes_, [part](const auto& each) {
        return each.second.parts.contains(part);
    });
}

bool crash_history::has_crash_between(std::uint64_t part, absl::Time begin,
                                      absl::Time end) const
{
    return std::ranges::any_of(crashes_, [&](const auto& each) {
        const remembered_crash& crash = each.second;
        return begin <= crash.crashed_at && crash.crashed_at < end &&
               crash.parts.contains(part);
    });
}

bool crash_history::has_changes() const
{
    return !changed_crashes_.empty() || !changed_answers_.empty();
}

std::optional<crash_report> crash_history::take_changes(absl::Time now)
{
    crash_report report;
    while (!changed_crashes_.empty() &&
           report.crashes.size() < max_reported_crashes) {
        const server_incarnation server =
            changed_crashes_.extract(changed_crashes_.begin()).value();
        const auto found = crashes_.find(server);
        if (found == crashes_.end())
            continue;
        report.crashes.push_back(make_reported(now, server, found->second));
        changed_answers_.insert(found->second.parts.begin(),
                                found->second.parts.end());
    }
    for (const std::uint64_t part : std::exchange(changed_answers_, {}))
        if (was_answered(part))
            report.answered.push_back(
                {part, now - answered_.last_answer(part)});
    if (report.crashes.empty() && report.answered.empty())
        return std::nullopt;
    return report;
}

crash_report crash_history::report_of(absl::Time now,
                                      const std::set<std::uint64_t>& parts,
                                      std::size_t max_crashes) const
{
    crash_report report;
    for (const auto& [server, crash] : crashes_) {
        reported_crash reported = make_reported(now, server, crash);
        std::erase_if(reported.parts, [&parts](std::uint64_t part) {
            return !parts.contains(part);
        });
        if (!reported.parts.empty() && !reported.is_refuted)
            report.crashes.push_back(std::move(reported));
    }
    std::ranges::sort(report.crashes, {}, &reported_crash::age);
    if (report.crashes.size() > max_crashes)
        report.crashes.resize(max_crashes);
    for (const std::uint64_t part : parts)
        if (was_answered(part))
            report.answered.push_back(
                {part, now - answered_.last_answer(part)});
    return report;
}

} // namespace oriolefall::dispatch

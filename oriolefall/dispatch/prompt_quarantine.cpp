#include "oriolefall/dispatch/prompt_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Maximum number of crashes in a summary.
constexpr std::size_t max_summary_crashes = 8;

std::vector<std::uint64_t> ids_of(std::span<const prompt_part> parts)
{
    std::vector<std::uint64_t> ids;
    std::ranges::transform(parts, std::back_inserter(ids), &prompt_part::id);
    return ids;
}

/// Number of crashes that are at least `spacing` apart.
std::uint32_t count_spaced(const std::set<crash_key>& crashes,
                           absl::Duration spacing)
{
    std::uint32_t count = 0;
    absl::Time last = absl::InfinitePast();
    for (const crash_key& each : crashes) {
        if (each.crashed_at - last < spacing)
            continue;
        last = each.crashed_at;
        ++count;
    }
    return count;
}

/// True when `explanation` includes all of `crashes` and more.
bool explains_more(const std::set<crash_key>& explanation,
                   const std::set<crash_key>& crashes)
{
    return explanation.size() > crashes.size() &&
           std::ranges::includes(explanation, crashes);
}

} // namespace

prompt_quarantine::prompt_quarantine(const quarantine_settings& settings,
                                     std::function<std::uint64_t()> random)
    : settings_(settings), random_(std::move(random)), history_(settings)
{
}

void prompt_quarantine::record_crash(absl::Time now,
                                     const server_incarnation& server,
                                     std::span<const prompt_part> parts)
{
    if (history_.record_crash(now, server, ids_of(parts)))
        update();
}

void prompt_quarantine::record_answer(absl::Time answered_at,
                                      std::span<const prompt_part> parts)
{
    bool has_changed = false;
    for (const prompt_part& part : parts)
        has_changed =
            history_.record_answer(part.id, answered_at) || has_changed;
    if (has_changed)
        update();
}

void prompt_quarantine::record_alive(absl::Time now,
                                     const server_incarnation& server)
{
    if (!history_.is_empty() && history_.record_alive(now, server))
        update();
}

void prompt_quarantine::merge(absl::Time now, const crash_report& report)
{
    if (history_.merge(now, report))
        update();
}

void prompt_quarantine::expire(absl::Time now)
{
    if (!history_.is_empty() && history_.expire(now))
        update();
}

const quarantined_parts*
prompt_quarantine::find(std::span<const prompt_part> parts) const
{
    const auto has_part = [parts](std::uint64_t id) {
        return std::ranges::find(parts, id, &prompt_part::id) != parts.end();
    };
    const auto found = std::ranges::find_if(
        quarantined_, [&has_part](const quarantined_parts& each) {
            return std::ranges::all_of(each.parts, has_part);
        });
    return found == quarantined_.end() ? nullptr : &*found;
}

bool prompt_quarantine::is_suspected(std::span<const prompt_part> parts) const
{
    return std::ranges::any_of(parts, [this](const prompt_part& part) {
        return suspected_.contains(part.id);
    });
}

const std::vector<quarantined_parts>& prompt_quarantine::all() const
{
    return quarantined_;
}

std::uint64_t prompt_quarantine::revision() const
{
    return revision_;
}

bool prompt_quarantine::has_changes() const
{
    return history_.has_changes();
}

std::optional<crash_report> prompt_quarantine::take_changes(absl::Time now)
{
    return history_.take_changes(now);
}

crash_report prompt_quarantine::summary(absl::Time now) const
{
    std::set<std::uint64_t> parts;
    for (const quarantined_parts& each : quarantined_)
        parts.insert(each.parts.begin(), each.parts.end());
    return history_.report_of(now, parts, max_summary_crashes);
}

std::uint32_t prompt_quarantine::threshold(std::uint64_t part) const
{
    return history_.was_answered(part) ? settings_.crashes_of_answered_part
                                       : settings_.crashes_of_unanswered_part;
}

prompt_quarantine::part_crashes
prompt_quarantine::candidates(const part_crashes& suspected) const
{
    part_crashes enough;
    for (const auto& [part, crashes] : suspected)
        if (count_spaced(crashes, settings_.crash_spacing) >= threshold(part))
            enough.emplace(part, crashes);
    return enough;
}

absl::Time
prompt_quarantine::end_of_quarantine(const std::set<crash_key>& crashes) const
{
    absl::Duration time = settings_.quarantine_time;
    absl::Time last = absl::InfinitePast();
    for (const crash_key& each : crashes) {
        // A crash that late was caused after a quarantine had ended.
        if (last != absl::InfinitePast() && each.crashed_at - last >= time)
            time = std::min(2 * time, settings_.max_quarantine_time);
        last = each.crashed_at;
    }
    return last + time * *time_factor_;
}

void prompt_quarantine::update()
{
    if (!time_factor_) {
        constexpr std::uint64_t steps = 1000;
        time_factor_ = 1 + settings_.max_time_spread *
                               static_cast<double>(random_() % steps) / steps;
    }
    ++revision_;
    quarantined_.clear();
    suspected_.clear();
    const part_crashes suspected = history_.unanswered_crashes();
    for (const auto& [part, crashes] : suspected)
        if (!history_.was_answered(part) &&
            count_spaced(crashes, settings_.crash_spacing) >=
                settings_.crashes_before_no_retry)
            suspected_.insert(part);
    const part_crashes enough = candidates(suspected);
    std::map<std::set<crash_key>, std::set<std::uint64_t>> parts_by_crashes;
    for (const auto& [part, crashes] : enough)
        parts_by_crashes[crashes].insert(part);
    for (const auto& [crashes, parts] : parts_by_crashes) {
        const bool is_explained = std::ranges::any_of(
            parts_by_crashes, [&crashes = crashes](const auto& other) {
                return explains_more(other.first, crashes);
            });
        if (!is_explained)
            quarantined_.push_back(
                {parts, count_spaced(crashes, settings_.crash_spacing),
                 end_of_quarantine(crashes)});
    }
}

} // namespace oriolefall::dispatch

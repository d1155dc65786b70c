#include "oriolefall/usage/usage_reporter.hpp"

#include "oriolefall/usage/window_index.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace oriolefall::usage {

namespace {

/// The upper half of a fencing number is the epoch of the store.
constexpr unsigned epoch_shift = 32;
/// Bounds waits, because true time may be corrected meanwhile.
constexpr absl::Duration max_wait = absl::Seconds(1);

using counts_by_workspace = std::map<core::workspace_id, std::uint64_t>;

const window_counts* find_window(const region_usage& usage,
                                 std::uint64_t window)
{
    const auto found =
        std::ranges::find(usage.windows, window, &window_counts::window);
    return found == usage.windows.end() ? nullptr : &*found;
}

std::uint64_t newest_window(const region_usage& usage)
{
    std::uint64_t newest = 0;
    for (const window_counts& each : usage.windows)
        newest = std::max(newest, each.window);
    return newest;
}

bool has_window(const std::vector<region_usage>& sums, std::uint64_t window)
{
    return std::ranges::any_of(sums, [window](const region_usage& each) {
        return find_window(each, window) != nullptr;
    });
}

/// True if a region has published a window shortly before this one but not yet
/// this one.
bool is_region_behind(const std::vector<region_usage>& sums,
                      std::uint64_t window)
{
    std::set<core::region_name> present;
    std::set<core::region_name> recent;
    for (const region_usage& usage : sums)
        for (const window_counts& each : usage.windows) {
            if (each.window == window)
                present.insert(usage.region);
            else if (each.window < window &&
                     each.window + published_windows >= window)
                recent.insert(usage.region);
        }
    return !std::ranges::includes(present, recent);
}

/// The watchers of a region count the same instances, and each may have missed
/// some updates: the largest count is the nearest to the truth.
duties::usage_report add_up(const std::vector<region_usage>& sums,
                            std::uint64_t window)
{
    std::map<core::region_name, counts_by_workspace> regions;
    for (const region_usage& each : sums)
        if (const window_counts* found = find_window(each, window))
            for (const auto& [workspace, requests] : found->counts) {
                std::uint64_t& count = regions[each.region][workspace];
                count = std::max(count, requests);
            }
    counts_by_workspace totals;
    for (const auto& [region, counts] : regions)
        for (const auto& [workspace, requests] : counts)
            totals[workspace] += requests;
    duties::usage_report report{window, {}};
    for (const auto& [workspace, requests] : totals)
        if (requests > 0)
            report.counts.push_back({workspace, requests});
    return report;
}

} // namespace

usage_reporter::usage_reporter(const usage_settings& settings,
                               true_time_hook true_time, absl::Time started_at)
    : settings_(settings), true_time_(std::move(true_time)),
      started_at_(started_at), backoff_(settings.min_backoff)
{
}

duties::planner usage_reporter::make_planner()
{
    return {
        "usage",
        [this](absl::Time now, std::uint64_t fencing_number) {
            on_acquired(now, fencing_number);
        },
        [this](absl::Time now) { return next(now); },
        [this](absl::Time now, const duties::task&,
               const duties::task_result& result) { on_result(now, result); },
        [this] { return next_at(); }};
}

void usage_reporter::note_epoch(std::uint64_t epoch)
{
    if (!first_epoch_)
        first_epoch_ = epoch;
    epoch_ = std::max(epoch_, epoch);
}

const reporter_counters& usage_reporter::counters() const
{
    return counters_;
}

void usage_reporter::on_acquired(absl::Time now, std::uint64_t fencing_number)
{
    fencing_number_ = fencing_number;
    note_epoch(fencing_number >> epoch_shift);
    knows_reports_ = false;
    clear_pending();
    not_before_ = now;
    continue_at(step::read_record);
}

std::optional<duties::task> usage_reporter::next(absl::Time now)
{
    if (now < next_at())
        return std::nullopt;
    // Each holder sends it at least once: its clock may be wrong.
    if (step_ == step::send_report && has_sent_pending_ &&
        last_due_window(now) >
            pending_->window + 1 + settings_.max_windows_behind) {
        ++counters_.skipped;
        finish_window(pending_->window);
    }
    switch (step_) {
    case step::without_lease:
        break;
    case step::read_record:
        return duties::read_objects{std::string(record_collection)};
    case step::read_sums:
        if (is_window_due(now))
            return duties::read_objects{std::string(sums_collection)};
        break;
    case step::write_record:
        return duties::write_object{
            std::string(record_collection), std::string(record_name),
            print_usage_record(
                {fencing_number_, *pending_, is_pending_settled_}),
            record_revision_};
    case step::send_report:
        sent_ = pending_;
        has_sent_pending_ = true;
        return duties::provider_call{*pending_};
    }
    return std::nullopt;
}

bool usage_reporter::is_window_due(absl::Time now)
{
    // A clock that was ahead at the start of the fleet has been corrected.
    if (is_first_report_ && next_window_ > current_window(now) + 1)
        next_window_ = first_window();
    const absl::Time due_at =
        window_end(next_window_, settings_.window) + settings_.report_after;
    const absl::Time true_now = true_time_(now);
    if (true_now >= due_at)
        return true;
    wait(now, std::min(due_at - true_now, max_wait));
    return false;
}

void usage_reporter::on_result(absl::Time now,
                               const duties::task_result& result)
{
    const auto* read = std::get_if<duties::objects_read>(&result);
    switch (step_) {
    case step::without_lease:
        break;
    case step::read_record:
        if (read != nullptr)
            on_record(now, *read);
        else
            retry_later(now, step::read_record);
        break;
    case step::read_sums:
        if (read != nullptr)
            on_sums(now, *read);
        else
            retry_later(now, step::read_sums);
        break;
    case step::write_record:
        on_record_written(now, result);
        break;
    case step::send_report:
        on_report_sent(now, result);
        break;
    }
}

absl::Time usage_reporter::next_at() const
{
    return step_ == step::without_lease ? absl::InfiniteFuture() : not_before_;
}

void usage_reporter::on_record(absl::Time now, const duties::objects_read& read)
{
    note_epoch(read.epoch);
    clear_pending();
    const auto found = std::ranges::find(read.objects, record_name,
                                         &duties::object_version::name);
    if (found == read.objects.end()) {
        record_revision_ = 0;
        if (epoch_ > *first_epoch_) {
            continue_after_unknown_reports(now, 0);
            return;
        }
        // No instance has reported a window that ended after this one started.
        is_first_report_ = true;
        next_window_ = std::max(next_window_, first_window());
        knows_reports_ = true;
        continue_at(step::read_sums);
        return;
    }
    is_first_report_ = false;
    record_revision_ = found->revision;
    if (const auto record = parse_usage_record(found->value)) {
        on_known_record(now, *record, read.epoch);
        return;
    }
    ++counters_.unreadable_objects;
    continue_after_unknown_reports(now, 0);
}

void usage_reporter::continue_after_unknown_reports(absl::Time now,
                                                    std::uint64_t first)
{
    is_first_report_ = false;
    // While one instance holds the lease, no other one reports.
    if (knows_reports_) {
        continue_at(step::read_sums);
        return;
    }
    // Recorded, so that the next holder need not skip these windows again.
    next_window_ =
        std::max({next_window_, first, current_window(now), std::uint64_t{1}});
    pending_ = duties::usage_report{next_window_ - 1, {}};
    is_pending_settled_ = true;
    continue_at(step::write_record);
}

void usage_reporter::on_known_record(absl::Time now, const usage_record& record,
                                     std::uint64_t store_epoch)
{
    const duties::usage_report& report = record.report;
    if (record.fence > fencing_number_) {
        // Another instance has taken the lease over.
        retry_later(now, step::read_record);
        return;
    }
    if (record.fence >> epoch_shift < store_epoch) {
        // The store was restored: later reports may have been sent.
        continue_after_unknown_reports(now, report.window + 1);
        return;
    }
    knows_reports_ = true;
    if (record.is_settled)
        next_window_ = std::max(next_window_, report.window + 1);
    if (report.window < next_window_) {
        continue_at(step::read_sums);
        return;
    }
    next_window_ = report.window;
    pending_ = sent_ && sent_->window == report.window ? *sent_ : report;
    continue_at(step::send_report);
}

std::vector<region_usage>
usage_reporter::parse_sums(const duties::objects_read& read)
{
    std::vector<region_usage> sums;
    for (const duties::object_version& object : read.objects) {
        if (auto parsed = parse_region_usage(object.value))
            sums.push_back(std::move(*parsed));
        else
            ++counters_.unreadable_objects;
    }
    return sums;
}

void usage_reporter::on_sums(absl::Time now, const duties::objects_read& read)
{
    if (read.epoch > epoch_) {
        // The record has another revision now.
        note_epoch(read.epoch);
        continue_at(step::read_record);
        return;
    }
    const auto sums = parse_sums(read);
    std::uint64_t newest = 0;
    for (const region_usage& each : sums)
        newest = std::max(newest, newest_window(each));
    skip_old_windows(std::min(newest, last_due_window(now)));
    const std::uint64_t window = next_window_;
    const bool may_wait =
        true_time_(now) <
        window_end(window, settings_.window) + settings_.wait_until;
    const bool is_published = has_window(sums, window);
    if ((!is_published && newest < window) ||
        (may_wait && (!is_published || is_region_behind(sums, window)))) {
        wait(now, settings_.reread_interval);
        return;
    }
    duties::usage_report report = add_up(sums, window);
    if (!is_published || (is_first_report_ && report.counts.empty())) {
        counters_.skipped += is_first_report_ ? 0 : 1;
        finish_window(window);
        return;
    }
    pending_ = std::move(report);
    continue_at(step::write_record);
}

void usage_reporter::skip_old_windows(std::uint64_t last_due)
{
    if (last_due <= next_window_ + settings_.max_windows_behind)
        return;
    const std::uint64_t first = last_due - settings_.max_windows_behind;
    if (!is_first_report_)
        counters_.skipped += first - next_window_;
    next_window_ = first;
}

void usage_reporter::on_record_written(absl::Time now,
                                       const duties::task_result& result)
{
    if (const auto* written = std::get_if<duties::object_written>(&result)) {
        record_revision_ = written->revision;
        is_first_report_ = false;
        if (is_pending_settled_) {
            knows_reports_ = true;
            finish_window(pending_->window);
            return;
        }
        continue_at(step::send_report);
        return;
    }
    // The write may have been executed, or another one before it.
    retry_later(now, step::read_record);
}

void usage_reporter::on_report_sent(absl::Time now,
                                    const duties::task_result& result)
{
    if (!std::holds_alternative<duties::provider_accepted>(result)) {
        retry_later(now, step::send_report);
        return;
    }
    ++counters_.reported;
    finish_window(pending_->window);
}

void usage_reporter::finish_window(std::uint64_t window)
{
    next_window_ = window + 1;
    clear_pending();
    continue_at(step::read_sums);
}

void usage_reporter::clear_pending()
{
    pending_.reset();
    is_pending_settled_ = false;
    has_sent_pending_ = false;
}

void usage_reporter::continue_at(step next_step)
{
    step_ = next_step;
    backoff_ = settings_.min_backoff;
}

void usage_reporter::retry_later(absl::Time now, step next_step)
{
    step_ = next_step;
    wait(now, backoff_);
    backoff_ = std::min(2 * backoff_, settings_.max_backoff);
}

void usage_reporter::wait(absl::Time now, absl::Duration time)
{
    not_before_ = now + time;
}

std::uint64_t usage_reporter::last_due_window(absl::Time now) const
{
    const std::uint64_t ended = window_index(
        true_time_(now) - settings_.report_after, settings_.window);
    return ended == 0 ? 0 : ended - 1;
}

std::uint64_t usage_reporter::first_window() const
{
    return window_index(true_time_(started_at_), settings_.window);
}

std::uint64_t usage_reporter::current_window(absl::Time now) const
{
    return window_index(true_time_(now), settings_.window);
}

} // namespace oriolefall::usage

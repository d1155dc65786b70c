#include "oriolefall/usage/usage_exchange.hpp"

#include "oriolefall/usage/usage_objects.hpp"
#include "oriolefall/usage/window_index.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace oriolefall::usage {

namespace {

constexpr absl::Duration rewrite_interval = absl::Milliseconds(500);

} // namespace

usage_exchange::usage_exchange(const usage_settings& settings,
                               usage_source source)
    : settings_(settings), source_(std::move(source)),
      clock_(source_.time_of_day, source_.started_at)
{
}

void usage_exchange::record_run_began(absl::Time now,
                                      const core::workspace_id& workspace)
{
    const std::lock_guard lock(mutex_);
    counter_.record(window_at(now), workspace);
}

void usage_exchange::set_demand(std::vector<service_demand> demand)
{
    if (demand.size() > max_demands)
        demand.resize(max_demands);
    for (service_demand& each : demand)
        each.failure_domain = source_.failure_domain;
    const std::lock_guard lock(mutex_);
    demand_ = std::move(demand);
}

void usage_exchange::set_watcher(bool is_watcher)
{
    const std::lock_guard lock(mutex_);
    is_watcher_ = is_watcher;
}

void usage_exchange::receive(absl::Time now, const core::instance_id& from,
                             const usage_update& update)
{
    if (from == source_.instance)
        return;
    const std::uint64_t window = record_clock(now, from, update);
    // An instance that becomes a watcher knows the region's counts at once.
    if (update.windows.empty() && update.demand.empty())
        return;
    const std::lock_guard lock(collector_mutex_);
    collector_.record(from, update, now, window);
}

std::uint64_t usage_exchange::record_clock(absl::Time now,
                                           const core::instance_id& from,
                                           const usage_update& update)
{
    const std::lock_guard lock(mutex_);
    clock_.record_peer(from, update.incarnation,
                       absl::FromUnixMillis(update.sent_at_ms), now);
    const auto correction =
        static_cast<std::int64_t>(clock_.correction() / settings_.window);
    if (correction != shift_) {
        counter_.shift(correction - std::exchange(shift_, correction));
        corrections_ = std::min(corrections_ + 1, max_corrections);
        sent_windows_.clear();
    }
    return window_at(now);
}

due_updates usage_exchange::tick(absl::Time now)
{
    const std::lock_guard lock(mutex_);
    due_updates due;
    if (now < next_update_at_)
        return due;
    next_update_at_ = now + settings_.update_interval;
    usage_update update = make_update(now);
    if (now >= next_clock_at_) {
        next_clock_at_ = now + settings_.clock_interval;
        due.to_all =
            usage_update{update.incarnation, update.sent_at_ms, {}, {}};
    }
    remove_sent(now, update.windows);
    if (update.windows.empty() && update.demand == sent_demand_ &&
        now - sent_at_ < settings_.clock_interval)
        return due;
    sent_demand_ = update.demand;
    sent_at_ = now;
    due.to_watchers = std::move(update);
    return due;
}

std::optional<duties::write_object> usage_exchange::due_object(absl::Time now)
{
    const auto usage = due_usage(now);
    if (!usage)
        return std::nullopt;
    return duties::write_object{std::string(sums_collection),
                                source_.instance.value(),
                                print_region_usage(*usage), 0};
}

std::optional<region_usage> usage_exchange::due_usage(absl::Time now)
{
    const auto window = begin_write(now);
    if (!window)
        return std::nullopt;
    record_own(now);
    const std::lock_guard lock(collector_mutex_);
    return region_usage{source_.region, published(*window),
                        collector_.demand(now)};
}

std::optional<std::uint64_t> usage_exchange::begin_write(absl::Time now)
{
    const std::lock_guard lock(mutex_);
    const std::uint64_t current = window_index(
        clock_.at(now) - settings_.publish_after, settings_.window);
    if (!is_watcher_ || current == 0 || now < write_not_before_ ||
        written_window_ == current - 1)
        return std::nullopt;
    writing_window_ = current - 1;
    write_not_before_ = now + rewrite_interval;
    return writing_window_;
}

void usage_exchange::record_own(absl::Time now)
{
    usage_update update;
    std::uint64_t window = 0;
    {
        const std::lock_guard lock(mutex_);
        update = make_update(now);
        window = window_at(now);
    }
    const std::lock_guard lock(collector_mutex_);
    collector_.record(source_.instance, update, now, window);
}

void usage_exchange::on_written(absl::Time now, bool is_written)
{
    const std::lock_guard lock(mutex_);
    if (is_written)
        written_window_ = writing_window_;
    else
        write_not_before_ = now + rewrite_interval;
}

absl::Time usage_exchange::true_time(absl::Time now) const
{
    const std::lock_guard lock(mutex_);
    return clock_.at(now);
}

std::vector<service_demand> usage_exchange::region_demand(absl::Time now)
{
    {
        const std::lock_guard lock(mutex_);
        if (!is_watcher_)
            return {};
    }
    record_own(now);
    const std::lock_guard lock(collector_mutex_);
    return collector_.demand(now);
}

std::uint64_t usage_exchange::lost() const
{
    const std::scoped_lock lock(mutex_, collector_mutex_);
    return counter_.lost() + collector_.ignored();
}

std::uint64_t usage_exchange::window_at(absl::Time now) const
{
    return window_index(clock_.at(now), settings_.window);
}

usage_update usage_exchange::make_update(absl::Time now) const
{
    return {source_.incarnation << correction_bits | corrections_,
            absl::ToUnixMillis(clock_.uncorrected(now)), counter_.windows(),
            demand_};
}

void usage_exchange::remove_sent(absl::Time now,
                                 std::vector<window_counts>& windows)
{
    decltype(sent_windows_) counted;
    for (window_counts& each : windows) {
        counted[each.window] = each.counts;
        const auto sent = sent_windows_.find(each.window);
        if (is_window_due(now, each.window) || sent == sent_windows_.end())
            continue;
        std::vector<duties::workspace_count> changed;
        std::ranges::set_difference(each.counts, sent->second,
                                    std::back_inserter(changed));
        each.counts = std::move(changed);
    }
    sent_windows_ = std::move(counted);
    std::erase_if(windows,
                  [](const auto& each) { return each.counts.empty(); });
}

bool usage_exchange::is_window_due(absl::Time now, std::uint64_t window)
{
    const absl::Duration age =
        clock_.at(now) - window_end(window, settings_.window);
    if (window < repeated_window_ || age < absl::ZeroDuration() ||
        age > settings_.window)
        return false;
    if (window > repeated_window_)
        repetitions_ = 0;
    if (repetitions_ > 1 || (repetitions_ == 1 && age < settings_.repeat_after))
        return false;
    repeated_window_ = window;
    ++repetitions_;
    return true;
}

std::vector<window_counts> usage_exchange::published(std::uint64_t window) const
{
    std::vector<window_counts> windows;
    const std::uint64_t count =
        std::min<std::uint64_t>(window + 1, published_windows);
    for (std::uint64_t each = window + 1 - count; each <= window; ++each)
        windows.push_back({each, collector_.counts(each)});
    return windows;
}

} // namespace oriolefall::usage

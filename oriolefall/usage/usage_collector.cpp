#include "oriolefall/usage/usage_collector.hpp"

#include "oriolefall/usage/usage_settings.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::usage {

namespace {

/// Windows before the current one that are kept. The report of a window is
/// due two windows after it; a late update may still be of use to the next
/// object.
constexpr std::uint64_t kept_windows = 8;
/// Two updates may be lost before the demand of an instance is left out.
constexpr absl::Duration demand_lifetime = absl::Milliseconds(3500);
/// Time after which a sender without windows is removed.
constexpr absl::Duration sender_lifetime = absl::Minutes(1);

bool is_near(std::uint64_t window, std::uint64_t current)
{
    return window + kept_windows >= current && window <= current + 1;
}

} // namespace

void usage_collector::record(const core::instance_id& from,
                             const usage_update& update, absl::Time received_at,
                             std::uint64_t current_window)
{
    remove_old(current_window, received_at);
    const std::pair key{from, update.incarnation >> correction_bits};
    const std::uint64_t corrections = update.incarnation & max_corrections;
    const auto found = senders_.find(key);
    const bool is_new = found == senders_.end();
    if (is_new && senders_.size() >= max_instances) {
        ++ignored_;
        return;
    }
    sender& known = is_new ? senders_[key] : found->second;
    if (!is_new && corrections < known.corrections)
        return;
    // What the sender told before its clock was corrected is in wrong windows.
    if (corrections != known.corrections)
        known.windows.clear();
    known.corrections = corrections;
    if (is_new || update.sent_at_ms > known.sent_at_ms) {
        known.sent_at_ms = update.sent_at_ms;
        known.received_at = received_at;
        known.demand = update.demand;
    }
    for (const window_counts& each : update.windows)
        if (is_near(each.window, current_window))
            merge(each.counts, known.windows[each.window]);
}

void usage_collector::merge(const std::vector<duties::workspace_count>& counts,
                            workspace_counts& known)
{
    // Counts are cumulative: the largest is the latest.
    for (const auto& [workspace, requests] : counts) {
        const auto found = known.find(workspace);
        if (found != known.end())
            found->second = std::max(found->second, requests);
        else if (known.size() < max_workspaces)
            known.emplace(workspace, requests);
        else
            ++ignored_;
    }
}

std::vector<duties::workspace_count>
usage_collector::counts(std::uint64_t window) const
{
    workspace_counts sums;
    for (const auto& [key, sender] : senders_)
        if (const auto found = sender.windows.find(window);
            found != sender.windows.end())
            for (const auto& [workspace, requests] : found->second)
                sums[workspace] += requests;
    std::vector<duties::workspace_count> all;
    std::ranges::transform(sums, std::back_inserter(all), [](const auto& each) {
        return duties::workspace_count{each.first, each.second};
    });
    return all;
}

std::vector<service_demand> usage_collector::demand(absl::Time now) const
{
    std::map<std::pair<routing::service_name, core::failure_domain_name>,
             service_demand>
        sums;
    for (const auto& [key, sender] : senders_) {
        if (now - sender.received_at > demand_lifetime)
            continue;
        for (const service_demand& each : sender.demand) {
            service_demand& sum = sums[{each.service, each.failure_domain}];
            sum.service = each.service;
            sum.failure_domain = each.failure_domain;
            sum.calls_milli += each.calls_milli;
            sum.urgent_calls_milli += each.urgent_calls_milli;
            sum.answers += each.answers;
            sum.late_answers += each.late_answers;
            sum.refused += each.refused;
        }
    }
    std::vector<service_demand> all;
    std::ranges::transform(sums, std::back_inserter(all),
                           [](const auto& each) { return each.second; });
    return all;
}

std::uint64_t usage_collector::ignored() const
{
    return ignored_;
}

void usage_collector::remove_old(std::uint64_t current_window, absl::Time now)
{
    for (auto& [key, sender] : senders_)
        std::erase_if(sender.windows, [&](const auto& window) {
            return window.first + kept_windows < current_window;
        });
    std::erase_if(senders_, [now](const auto& entry) {
        return entry.second.windows.empty() &&
               now - entry.second.received_at > sender_lifetime;
    });
}

} // namespace oriolefall::usage

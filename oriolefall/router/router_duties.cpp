#include "oriolefall/core/clock.hpp"
#include "oriolefall/membership/watcher_choice.hpp"
#include "oriolefall/router/duty_log.hpp"
#include "oriolefall/router/router.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::router {

namespace {

/// Instances of each region that may hold the lease of the duties.
constexpr std::size_t duty_candidates_per_region = 2;
/// Watchers of a region that publish usage: either has the region's counts.
constexpr std::size_t usage_watchers = 2;

} // namespace

void router::make_singleton_duty()
{
    if (!settings_.singleton)
        return;
    std::vector<duties::planner> planners;
    if (usage_) {
        usage_reporter_ = std::make_unique<usage::usage_reporter>(
            *settings_.usage,
            [this](absl::Time now) { return usage_->true_time(now); },
            core::boot_now());
        planners.push_back(usage_reporter_->make_planner());
    }
    if (settings_.sizes_services) {
        sizing_ = std::make_unique<fleet_sizing>(log_);
        planners.push_back(sizing_->make_demand_planner());
        planners.push_back(sizing_->make_size_planner());
    }
    singleton::singleton_hooks hooks;
    hooks.on_lease_changed = [this](singleton::lease_change change,
                                    std::uint64_t fencing_number) {
        metrics_.count_lease_change(to_string(change));
        log_lease_change(log_, change, fencing_number);
    };
    hooks.on_provider_call =
        [this](const singleton::provider_call_record& record) {
            metrics_.count_provider_call(record.duty, outcome_of(record));
            log_provider_call(log_, record);
        };
    if (usage_) {
        hooks.on_store_epoch = [this](std::uint64_t epoch) {
            usage_reporter_->note_epoch(epoch);
        };
        hooks.publisher = {
            [this](absl::Time now) { return usage_->due_object(now); },
            [this](absl::Time now, bool is_written) {
                usage_->on_written(now, is_written);
            },
            hooks_.store.put};
    }
    singleton_duty_ = std::make_unique<singleton::singleton_duty>(
        *settings_.singleton, hooks_.duty_calls, std::move(hooks),
        std::move(planners));
}

void router::update_duty_candidate(
    const std::vector<membership::member>& members)
{
    if (!singleton_duty_)
        return;
    const auto candidates = membership::choose_region_watchers(
        members, settings_.location.region, duty_candidates_per_region);
    singleton_duty_->set_candidate(
        std::ranges::find(candidates, settings_.instance) != candidates.end());
}

void router::post_sizing_input(std::function<void(fleet_sizing&)> input)
{
    if (!sizing_)
        return;
    // What is lost to a full ring is made up for by the next change.
    static_cast<void>(singleton_duty_->post(
        [this, input = std::move(input)] { input(*sizing_); }));
}

void router::add_usage_hooks(decide_duty::hooks& hooks)
{
    if (!usage_)
        return;
    hooks.record_run_began = [this](const dispatch::run_began& run) {
        usage_->record_run_began(core::boot_now(), run.workspace);
    };
    hooks.record_demand = [this](const dispatch::report_demand& demand) {
        usage_->set_demand(demand.services);
    };
    hooks.on_second = [this] { send_usage(); };
}

void router::send_usage()
{
    const usage::due_updates due = usage_->tick(core::boot_now());
    if (due.to_all)
        send_to_peers(*due.to_all);
    if (!due.to_watchers || !has_joined_)
        return;
    for (const core::instance_id& to : *usage_watchers_.get())
        control_duty_->post(peer::outgoing_message{to, *due.to_watchers});
}

void router::assign_usage_watchers(
    const std::vector<membership::member>& members)
{
    if (!usage_)
        return;
    std::vector<core::instance_id> watchers =
        membership::choose_region_watchers(members, settings_.location.region,
                                           usage_watchers);
    // One is chosen in each failure domain; two bound the bytes of updates.
    watchers.resize(std::min(watchers.size(), usage_watchers));
    usage_->set_watcher(std::erase(watchers, settings_.instance) > 0);
    usage_watchers_.set(std::make_shared<const std::vector<core::instance_id>>(
        std::move(watchers)));
}

} // namespace oriolefall::router

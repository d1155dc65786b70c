#include "oriolefall/router/decide_duty.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::router {

namespace {

constexpr std::size_t max_batch_size = 256;
/// Events that may be dropped fill this part of the ring at most: one in so
/// many.
constexpr std::size_t droppable_part = 4;
/// Time until actions that found the forwarding queue full are submitted
/// again.
constexpr absl::Duration resubmit_interval = absl::Milliseconds(5);
constexpr absl::Duration second_interval = absl::Seconds(1);

template <class Value>
void call_if_set(const std::function<void(const Value&)>& hook,
                 const Value& value)
{
    if (hook)
        hook(value);
}

} // namespace

decide_duty::decide_duty(dispatch::dispatch_settings settings,
                         dispatch::dispatch_hooks dispatch, hooks hooks,
                         std::size_t capacity)
    : dispatcher_(std::move(settings), std::move(dispatch)),
      hooks_(std::move(hooks)), events_(capacity)
{
}

decide_duty::~decide_duty()
{
    stop();
}

void decide_duty::start()
{
    thread_.emplace("decide", [this] { run(); });
}

void decide_duty::stop()
{
    events_.close();
    thread_.reset();
}

bool decide_duty::try_post(dispatch::event event)
{
    if (dispatch::may_be_dropped(event)) {
        const std::size_t spare =
            events_.capacity() - events_.capacity() / droppable_part;
        return events_.try_push_leaving(spare, std::move(event));
    }
    return events_.try_push(std::move(event));
}

void decide_duty::post_state(dispatch::routes_changed routes)
{
    replace(&new_states::routes, std::move(routes));
}

void decide_duty::post_state(dispatch::servers_changed servers)
{
    replace(&new_states::servers, std::move(servers));
}

void decide_duty::post_state(dispatch::fleet_changed fleet)
{
    replace(&new_states::fleet, std::move(fleet));
}

void decide_duty::post_state(dispatch::retry_budget_changed budget)
{
    replace(&new_states::retry_budget, budget);
}

template <class State>
void decide_duty::replace(std::optional<State> new_states::*known, State state)
{
    {
        const std::lock_guard lock(new_states_mutex_);
        new_states_.*known = std::move(state);
    }
    wake();
}

void decide_duty::post_state(dispatch::load_report_received load)
{
    bool is_first = false;
    {
        const std::lock_guard lock(new_states_mutex_);
        is_first = new_states_.loads.empty();
        const core::instance_id from = load.from;
        new_states_.loads.insert_or_assign(from, std::move(load));
    }
    if (is_first)
        wake();
}

void decide_duty::wake()
{
    // A full ring needs no further event: the thread looks at the states before
    // each batch.
    static_cast<void>(events_.try_push(dispatch::tick{}));
}

void decide_duty::apply_new_states(absl::Time now)
{
    new_states fresh;
    {
        const std::lock_guard lock(new_states_mutex_);
        std::swap(fresh, new_states_);
    }
    const auto apply = [this, now](const auto& state) {
        if (state)
            dispatcher_.step(now, *state, actions_);
    };
    apply(fresh.routes);
    apply(fresh.servers);
    apply(fresh.fleet);
    apply(fresh.retry_budget);
    for (const auto& [from, load] : fresh.loads)
        dispatcher_.step(now, load, actions_);
}

void decide_duty::run()
{
    std::vector<dispatch::event> batch;
    if (hooks_.on_second)
        next_second_at_ = core::monotonic_now();
    for (;;) {
        absl::Time wake_at = std::min(dispatcher_.next_tick(), next_second_at_);
        if (!pending_actions_.empty())
            wake_at =
                std::min(wake_at, core::monotonic_now() + resubmit_interval);
        if (!events_.pop_some(batch, max_batch_size, core::to_steady(wake_at)))
            return;
        const absl::Time now = core::monotonic_now();
        apply_new_states(now);
        for (const dispatch::event& event : batch)
            dispatcher_.step(now, event, actions_);
        batch.clear();
        if (now >= dispatcher_.next_tick())
            dispatcher_.step(now, dispatch::tick{}, actions_);
        execute_actions();
        if (now >= next_second_at_) {
            next_second_at_ = now + second_interval;
            hooks_.on_second();
        }
    }
}

void decide_duty::execute_actions()
{
    for (dispatch::action& action : actions_) {
        if (const auto* record =
                std::get_if<dispatch::decision_record>(&action))
            hooks_.record_decision(*record);
        else if (const auto* change =
                     std::get_if<dispatch::ejection_change>(&action))
            hooks_.record_ejection(*change);
        else if (const auto* quarantine =
                     std::get_if<dispatch::quarantine_change>(&action))
            hooks_.record_quarantine(*quarantine);
        else if (const auto* limit =
                     std::get_if<dispatch::rate_limit_change>(&action))
            hooks_.record_rate_limit(*limit);
        else if (const auto* notice =
                     std::get_if<dispatch::notice_record>(&action))
            hooks_.record_notice(*notice);
        else if (const auto* crashes =
                     std::get_if<dispatch::send_crash_report>(&action))
            hooks_.send_crash_report(crashes->report);
        else if (const auto* notices =
                     std::get_if<dispatch::send_notice_report>(&action))
            hooks_.send_notice_report(notices->report);
        else if (const auto* load =
                     std::get_if<dispatch::send_load_report>(&action))
            report_load(load->report);
        else if (const auto* run = std::get_if<dispatch::run_began>(&action))
            call_if_set(hooks_.record_run_began, *run);
        else if (const auto* demand =
                     std::get_if<dispatch::report_demand>(&action))
            call_if_set(hooks_.record_demand, *demand);
        else
            pending_actions_.push_back(std::move(action));
    }
    actions_.clear();
    while (!pending_actions_.empty() && hooks_.submit(pending_actions_.front()))
        pending_actions_.pop_front();
}

void decide_duty::report_load(const dispatch::load_report& report)
{
    hooks_.send_load_report(report);
    // A summary goes over all servers, and metrics are read each few seconds.
    const absl::Time now = core::monotonic_now();
    if (now < next_capacity_record_at_)
        return;
    next_capacity_record_at_ = now + second_interval;
    for (const auto& record : dispatcher_.capacity_records())
        hooks_.record_capacity(record);
}

} // namespace oriolefall::router

#include "oriolefall/router/decide_duty.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::router {

namespace {

constexpr std::size_t most_at_once = 256;
/// Pause before orders that found no room are given again.
constexpr absl::Duration late_pause = absl::Milliseconds(5);

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

bool decide_duty::tell(dispatch::event event)
{
    return events_.try_push(std::move(event));
}

void decide_duty::run()
{
    std::vector<dispatch::event> batch;
    for (;;) {
        absl::Time until = dispatcher_.next_tick();
        if (!late_.empty())
            until = std::min(until, core::monotonic_now() + late_pause);
        if (!events_.pop_some(batch, most_at_once, core::to_steady(until)))
            return;
        const absl::Time now = core::monotonic_now();
        for (const dispatch::event& event : batch)
            dispatcher_.step(now, event, actions_);
        batch.clear();
        if (now >= dispatcher_.next_tick())
            dispatcher_.step(now, dispatch::tick{}, actions_);
        carry_out();
    }
}

void decide_duty::carry_out()
{
    for (dispatch::action& action : actions_) {
        if (const auto* note = std::get_if<dispatch::decision_record>(&action))
            hooks_.note(*note);
        else if (const auto* change =
                     std::get_if<dispatch::ejection_change>(&action))
            hooks_.server_note(*change);
        else if (const auto* load =
                     std::get_if<dispatch::send_load_report>(&action))
            hooks_.tell_load(load->report);
        else
            late_.push_back(std::move(action));
    }
    actions_.clear();
    while (!late_.empty() && hooks_.order(late_.front()))
        late_.pop_front();
}

} // namespace oriolefall::router

#include "oriolefall/backend/lane_pool.hpp"

#include <utility>

namespace oriolefall::backend {

lane_pool::lane_pool(const lane_settings& settings, lane_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)), connections_(settings_),
      work_(settings.waiting_calls), cancelled_(settings.waiting_calls)
{
    threads_.reserve(settings_.lanes + 1);
    threads_.emplace_back(
        "canceller", [this] { run_canceller(); }, core::small_stack_bytes);
    for (std::size_t i = 0; i < settings_.lanes; ++i)
        threads_.emplace_back(
            "lane", [this] { run_lane(); }, core::small_stack_bytes);
}

lane_pool::~lane_pool()
{
    work_.close();
    cancelled_.close();
    cancel_all();
    threads_.clear();
}

bool lane_pool::try_start(call_order order)
{
    const core::call_id call = order.call.call;
    auto control = std::make_shared<call_control>();
    {
        const std::lock_guard lock(mutex_);
        controls_.emplace(call, control);
    }
    if (work_.try_push({std::move(order), std::move(control)}))
        return true;
    forget(call);
    return false;
}

void lane_pool::cancel(core::call_id call)
{
    const std::shared_ptr<call_control> control = find(call);
    if (!control)
        return;
    control->cancel();
    // With no room the lane still sees the mark at its next byte.
    cancelled_.try_push(control);
}

void lane_pool::run_lane()
{
    while (const auto work = work_.pop())
        run_call(*work);
}

void lane_pool::run_canceller()
{
    while (const auto control = cancelled_.pop())
        (*control)->stop();
}

void lane_pool::run_call(const lane_work& work)
{
    call_runner runner(settings_, hooks_, connections_, *work.control,
                       work.order);
    const decision::call_ended end = runner.run();
    forget(end.call);
    work.order.ended(end);
}

std::shared_ptr<call_control> lane_pool::find(core::call_id call)
{
    const std::lock_guard lock(mutex_);
    const auto found = controls_.find(call);
    return found == controls_.end() ? nullptr : found->second;
}

void lane_pool::forget(core::call_id call)
{
    const std::lock_guard lock(mutex_);
    controls_.erase(call);
}

void lane_pool::cancel_all()
{
    std::vector<std::shared_ptr<call_control>> running;
    {
        const std::lock_guard lock(mutex_);
        running.reserve(controls_.size());
        for (const auto& [call, control] : controls_)
            running.push_back(control);
    }
    for (const auto& control : running) {
        control->cancel();
        control->stop();
    }
}

} // namespace oriolefall::backend

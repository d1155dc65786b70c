#include "oriolefall/backend/call_worker_pool.hpp"

#include <utility>

namespace oriolefall::backend {

call_worker_pool::call_worker_pool(const call_worker_settings& settings,
                                   call_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)), connections_(settings_),
      tasks_(settings.max_queued_calls), to_close_(settings.max_queued_calls)
{
    threads_.reserve(settings_.worker_count + 1);
    threads_.emplace_back(
        "canceller", [this] { run_canceller(); }, core::small_stack_bytes);
    for (std::size_t i = 0; i < settings_.worker_count; ++i)
        threads_.emplace_back(
            "lane", [this] { run_worker(); }, core::small_stack_bytes);
}

call_worker_pool::~call_worker_pool()
{
    tasks_.close();
    to_close_.close();
    cancel_all();
    threads_.clear();
}

bool call_worker_pool::try_start(call_task task)
{
    const core::call_id call = task.call.call;
    auto control = std::make_shared<call_control>();
    {
        const std::lock_guard lock(mutex_);
        controls_.emplace(call, control);
    }
    if (tasks_.try_push({std::move(task), std::move(control)}))
        return true;
    remove_control(call);
    return false;
}

void call_worker_pool::cancel(core::call_id call)
{
    const std::shared_ptr<call_control> control = find_control(call);
    if (!control)
        return;
    control->cancel();
    // If the queue is full, the worker sees the flag at its next byte.
    to_close_.try_push(control);
}

void call_worker_pool::run_worker()
{
    while (const auto queued = tasks_.pop())
        run_call(*queued);
}

void call_worker_pool::run_canceller()
{
    while (const auto control = to_close_.pop())
        (*control)->close_connection();
}

void call_worker_pool::run_call(const queued_call& queued)
{
    call_runner runner(settings_, hooks_, connections_, *queued.control,
                       queued.task);
    const decision::call_ended end = runner.run();
    remove_control(end.call);
    queued.task.on_ended(end);
}

std::shared_ptr<call_control> call_worker_pool::find_control(core::call_id call)
{
    const std::lock_guard lock(mutex_);
    const auto found = controls_.find(call);
    return found == controls_.end() ? nullptr : found->second;
}

void call_worker_pool::remove_control(core::call_id call)
{
    const std::lock_guard lock(mutex_);
    controls_.erase(call);
}

void call_worker_pool::cancel_all()
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
        control->close_connection();
    }
}

} // namespace oriolefall::backend

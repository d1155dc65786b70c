#include "stand_ins/engine_scheduler.hpp"

#include "oriolefall/core/clock.hpp"

#include <vector>

namespace oriolefall::stand_ins {

namespace {

constexpr std::size_t command_capacity = 1024;
constexpr std::size_t commands_at_once = 64;

} // namespace

engine_scheduler::engine_scheduler(const engine_settings& settings)
    : batch_(settings), models_(settings.models, settings.model_load_time,
                                settings.checks_fencing),
      commands_(command_capacity), thread_("scheduler", [this] { run(); })
{
}

engine_scheduler::~engine_scheduler()
{
    commands_.close();
    thread_.join();
}

bool engine_scheduler::send(engine_command command)
{
    return commands_.push(std::move(command));
}

void engine_scheduler::run()
{
    std::optional<absl::Time> step_end;
    std::vector<engine_command> commands;
    while (commands_.pop_some(
        commands, commands_at_once,
        core::to_steady(step_end.value_or(absl::InfiniteFuture())))) {
        const absl::Time now = core::monotonic_now();
        for (engine_command& command : commands)
            std::visit([&](auto& what) { apply(now, what); }, command);
        commands.clear();
        if (step_end && now >= *step_end) {
            batch_.end_step(now);
            step_end.reset();
        }
        if (!step_end)
            step_end = batch_.begin_step(now);
    }
}

void engine_scheduler::apply(absl::Time now, submit_stream& command)
{
    if (!models_.is_loaded(now, command.order.model)) {
        command.sink(stream_refused{batch_.load(now), true});
        return;
    }
    batch_.submit(now, std::move(command.order), std::move(command.sink));
}

void engine_scheduler::apply(absl::Time now, cancel_stream& command)
{
    batch_.cancel(now, command.id);
}

void engine_scheduler::apply(absl::Time now, ask_order& command)
{
    command.reply->try_push(models_.apply(now, command.order));
}

void engine_scheduler::apply(absl::Time now, ask_models& command)
{
    command.reply->try_push(models_.list(now));
}

void engine_scheduler::apply(absl::Time now, ask_load& command)
{
    command.reply->try_push(batch_.load(now));
}

void engine_scheduler::apply(absl::Time now, ask_stats& command)
{
    command.reply->try_push(batch_.stats(now));
}

void engine_scheduler::apply(absl::Time /*now*/, change_faults& command)
{
    command.change(batch_.faults());
    command.reply->try_push(batch_.faults());
}

} // namespace oriolefall::stand_ins

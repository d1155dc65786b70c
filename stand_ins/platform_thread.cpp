#include "stand_ins/platform_thread.hpp"

#include "oriolefall/core/clock.hpp"

#include <vector>

namespace oriolefall::stand_ins {

namespace {

constexpr std::size_t command_capacity = 1024;
constexpr std::size_t commands_at_once = 64;

} // namespace

platform_thread::platform_thread(std::size_t history)
    : desk_(history), commands_(command_capacity),
      thread_("platform", [this] { run(); })
{
}

platform_thread::~platform_thread()
{
    commands_.close();
    thread_.join();
}

bool platform_thread::send(platform_call call)
{
    return commands_.push(std::move(call));
}

platform_report
platform_thread::change_faults(std::function<void(platform_faults&)> change)
{
    auto reply = std::make_shared<core::bounded_ring<platform_report>>(1);
    commands_.push(control{std::move(change), reply});
    return reply->pop().value_or(platform_report{});
}

void platform_thread::run()
{
    std::vector<command> commands;
    while (commands_.pop_some(commands, commands_at_once,
                              core::to_steady(desk_.next_wake()))) {
        const absl::Time now = core::monotonic_now();
        for (command& next : commands)
            std::visit([&](auto& what) { apply(now, what); }, next);
        commands.clear();
        desk_.advance(now);
    }
}

void platform_thread::apply(absl::Time now, platform_call& call)
{
    desk_.take(now, std::move(call));
}

void platform_thread::apply(absl::Time /*now*/, control& what)
{
    if (what.change)
        desk_.change_faults(what.change);
    what.reply->try_push({desk_.faults(), desk_.stats()});
}

} // namespace oriolefall::stand_ins

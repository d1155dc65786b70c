#include "oriolefall/objects/move_duty.hpp"

#include "oriolefall/objects/move_json.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolefall::objects {

namespace {

write_condition condition_for_version(std::uint64_t version)
{
    if (version == 0)
        return if_absent{};
    return if_version{version};
}

/// Version that a write created; 0 when it failed or its outcome is unknown.
std::uint64_t written_version(const write_result& result)
{
    const auto* success = std::get_if<written>(&result);
    return success == nullptr ? 0 : success->version;
}

} // namespace

move_duty::move_duty(move_duty_settings settings, object_store store,
                     std::function<void()> stop_store, move_duty_hooks hooks)
    : settings_(std::move(settings)), store_(std::move(store)),
      stop_store_(std::move(stop_store)), hooks_(std::move(hooks)),
      mover_(settings_.instance, settings_.mover),
      events_(settings_.event_capacity), thread_("move", [this] { run(); })
{
}

move_duty::~move_duty()
{
    events_.close();
    stop_store_();
    thread_.join();
}

bool move_duty::try_post(move::event event)
{
    return events_.try_push(std::move(event));
}

void move_duty::run()
{
    while (true) {
        read_if_due();
        report_waiting();
        const absl::Time now = settings_.clock();
        const absl::Time deadline =
            std::min(mover_.next_tick(now), read_at_ + settings_.read_interval);
        auto next = events_.pop_until(core::to_steady(deadline));
        if (std::holds_alternative<core::ring_closed>(next))
            return;
        if (const auto* event = std::get_if<move::event>(&next))
            step(*event);
        else
            step(move::tick{});
    }
}

void move_duty::read_if_due()
{
    if (settings_.clock() < read_at_ + settings_.read_interval)
        return;
    read_move();
    read_lease();
    read_at_ = settings_.clock();
}

void move_duty::read_move()
{
    const read_result result =
        store_.read(move_path(settings_.team, settings_.name));
    const auto* object = std::get_if<stored_object>(&result);
    if (object == nullptr)
        return;
    auto parsed = parse_move(object->value);
    if (auto* value = std::get_if<move::move_object>(&parsed))
        step(move::move_received{std::move(*value), object->version});
}

void move_duty::read_lease()
{
    const read_result result =
        store_.read(move_lease_path(settings_.team, settings_.name));
    const auto* object = std::get_if<stored_object>(&result);
    if (object == nullptr)
        return;
    if (const auto lease = parse_lease(object->value))
        step(move::lease_received{*lease, object->version});
}

void move_duty::step(const move::event& event)
{
    std::vector<move::action> actions;
    mover_.step(settings_.clock(), event, actions);
    const auto& object = mover_.object();
    if (object && mover_.version() != reported_version_) {
        reported_version_ = mover_.version();
        hooks_.move_changed(*object, reported_version_);
    }
    for (const move::action& action : actions)
        std::visit([this](const auto& each) { execute(each); }, action);
}

void move_duty::execute(const leasing::write_lease& action)
{
    const write_result result =
        store_.put(move_lease_path(settings_.team, settings_.name),
                   print_lease(action.lease),
                   condition_for_version(action.expected_version));
    step(move::lease_write_ended{written_version(result)});
}

void move_duty::execute(const move::store_move& action)
{
    const write_result result = store_.put(
        move_path(settings_.team, settings_.name), print_move(action.object),
        condition_for_version(action.expected_version));
    step(move::move_write_ended{written_version(result)});
}

void move_duty::execute(const move::send_command& action)
{
    hooks_.send_command(action);
}

void move_duty::report_waiting()
{
    move::wait_status waiting = mover_.current_wait(settings_.clock());
    if (waiting == reported_waiting_)
        return;
    reported_waiting_ = std::move(waiting);
    hooks_.waiting_changed(reported_waiting_);
}

} // namespace oriolefall::objects

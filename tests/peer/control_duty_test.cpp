#include "oriolefall/peer/control_duty.hpp"

#include <algorithm>
#include <chrono>
#include <memory>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::peer;
using membership::member;
using membership::member_state;

namespace {

constexpr auto patience = std::chrono::seconds(60);

/// One instance's control duty with what it told, for others to wait on.
struct instance
{
    explicit instance(const std::string& name,
                      const std::vector<std::uint16_t>& seeds = {})
        : members(4096), objects(4096), duty(settings_of(name, seeds), hooks())
    {
        cr_assert(duty.start());
    }

    static control_settings settings_of(const std::string& name,
                                        const std::vector<std::uint16_t>& seeds)
    {
        control_settings settings;
        settings.link.self = core::instance_id(name);
        settings.link.incarnation = 1;
        settings.link.key = "shared";
        settings.link.yield_time = absl::Milliseconds(50);
        settings.membership.heartbeat_interval = absl::Milliseconds(50);
        settings.callers = {"127.0.0.1", 80};
        settings.location = {core::region_name("r"),
                             core::failure_domain_name("d" + name)};
        std::ranges::transform(seeds, std::back_inserter(settings.seeds),
                               [](std::uint16_t port) {
                                   return core::endpoint{"127.0.0.1", port};
                               });
        return settings;
    }

    control_hooks hooks()
    {
        return {
            [this](members_ptr value) { members.try_push(std::move(value)); },
            [this](const std::vector<settings::tree_object>& kept) {
                for (const settings::tree_object& object : kept)
                    objects.try_push(object);
            },
            [](bool) {}, [](const peer_message&) {}};
    }

    /// Waits until its members are as `condition` says.
    void await_members(
        const std::function<bool(const std::vector<member>&)>& condition)
    {
        const auto until = std::chrono::steady_clock::now() + patience;
        while (true) {
            const auto got = members.pop_until(until);
            const auto* value = std::get_if<members_ptr>(&got);
            cr_assert(value != nullptr, "members did not become so");
            if (condition(**value))
                return;
        }
    }

    void await_object(const settings::tree_object& expected)
    {
        const auto until = std::chrono::steady_clock::now() + patience;
        while (true) {
            const auto got = objects.pop_until(until);
            const auto* value = std::get_if<settings::tree_object>(&got);
            cr_assert(value != nullptr, "settings did not come");
            if (*value == expected)
                return;
        }
    }

    core::bounded_ring<members_ptr> members;
    core::bounded_ring<settings::tree_object> objects;
    control_duty duty;
};

auto has(std::size_t count, member_state state)
{
    return [count, state](const std::vector<member>& members) {
        return static_cast<std::size_t>(
                   std::ranges::count(members, state, &member::state)) == count;
    };
}

} // namespace

Test(control_duty, instances_find_each_other_from_one_seed)
{
    instance one("one");
    instance two("two", {one.duty.port()});
    instance three("three", {one.duty.port()});
    for (instance* each : {&one, &two, &three})
        each->await_members(has(3, member_state::live));
}

Test(control_duty, a_change_read_by_one_is_in_force_in_all)
{
    instance one("one");
    instance two("two", {one.duty.port()});
    instance three("three", {one.duty.port()});
    three.await_members(has(3, member_state::live));
    const settings::tree_object change{"/teams/t/classes", 9, "{}"};
    cr_assert(two.duty.give(settings_read{{change}}));
    for (instance* each : {&one, &two, &three})
        each->await_object(change);
}

Test(control_duty, a_new_instance_takes_settings_from_peers)
{
    instance one("one");
    const settings::tree_object first{"/teams/a/classes", 3, "{}"};
    const settings::tree_object second{"/teams/b/classes", 7, "{}"};
    cr_assert(one.duty.give(settings_read{{first, second}}));
    one.await_object(second);
    instance two("two", {one.duty.port()});
    two.await_object(first);
    two.await_object(second);
}

Test(control_duty, a_leaving_mark_reaches_the_others)
{
    instance one("one");
    instance two("two", {one.duty.port()});
    two.await_members(has(2, member_state::live));
    cr_assert(one.duty.give(membership::leave_requested{}));
    two.await_members(has(1, member_state::leaving));
}

Test(control_duty, the_platforms_list_joins_instances_without_seeds)
{
    instance one("one");
    instance two("two");
    member listed;
    listed.id = core::instance_id("two");
    listed.peer_endpoint = {"127.0.0.1", two.duty.port()};
    cr_assert(one.duty.give(membership::platform_listed{{listed}}));
    two.await_members(has(2, member_state::live));
}

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

constexpr auto test_timeout = std::chrono::seconds(60);

/// A control duty whose notifications are queued, so that a test can wait for
/// them.
struct test_instance
{
    explicit test_instance(const std::string& name,
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
        settings.link.dial_delay = absl::Milliseconds(50);
        settings.membership.heartbeat_interval = absl::Milliseconds(50);
        settings.caller_endpoint = {"127.0.0.1", 80};
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
            [this](const std::vector<settings::tree_object>& updated) {
                for (const settings::tree_object& object : updated)
                    objects.try_push(object);
            },
            [](bool) {}, [](const peer_message&) {}};
    }

    /// Waits until the reported members meet `condition`.
    void await_members(
        const std::function<bool(const std::vector<member>&)>& condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + test_timeout;
        while (true) {
            const auto got = members.pop_until(deadline);
            const auto* value = std::get_if<members_ptr>(&got);
            cr_assert(value != nullptr,
                      "the expected members were not reported");
            if (condition(**value))
                return;
        }
    }

    void await_object(const settings::tree_object& expected)
    {
        const auto deadline = std::chrono::steady_clock::now() + test_timeout;
        while (true) {
            const auto got = objects.pop_until(deadline);
            const auto* value = std::get_if<settings::tree_object>(&got);
            cr_assert(value != nullptr,
                      "the expected settings object was not reported");
            if (*value == expected)
                return;
        }
    }

    core::bounded_ring<members_ptr> members;
    core::bounded_ring<settings::tree_object> objects;
    control_duty duty;
};

auto has_member_count(std::size_t count, member_state state)
{
    return [count, state](const std::vector<member>& members) {
        return static_cast<std::size_t>(
                   std::ranges::count(members, state, &member::state)) == count;
    };
}

} // namespace

Test(control_duty, instances_discover_each_other_through_one_seed)
{
    test_instance one("one");
    test_instance two("two", {one.duty.port()});
    test_instance three("three", {one.duty.port()});
    for (test_instance* each : {&one, &two, &three})
        each->await_members(has_member_count(3, member_state::live));
}

Test(control_duty, a_change_read_by_one_instance_reaches_all)
{
    test_instance one("one");
    test_instance two("two", {one.duty.port()});
    test_instance three("three", {one.duty.port()});
    three.await_members(has_member_count(3, member_state::live));
    const settings::tree_object change{"/teams/t/classes", 9, "{}"};
    cr_assert(two.duty.post(settings_read{{change}}));
    for (test_instance* each : {&one, &two, &three})
        each->await_object(change);
}

Test(control_duty, a_new_instance_receives_settings_from_peers)
{
    test_instance one("one");
    const settings::tree_object first{"/teams/a/classes", 3, "{}"};
    const settings::tree_object second{"/teams/b/classes", 7, "{}"};
    cr_assert(one.duty.post(settings_read{{first, second}}));
    one.await_object(second);
    test_instance two("two", {one.duty.port()});
    two.await_object(first);
    two.await_object(second);
}

Test(control_duty, the_leaving_state_reaches_other_instances)
{
    test_instance one("one");
    test_instance two("two", {one.duty.port()});
    two.await_members(has_member_count(2, member_state::live));
    cr_assert(one.duty.post(membership::leave_requested{}));
    two.await_members(has_member_count(1, member_state::leaving));
}

Test(control_duty, the_platform_list_connects_instances_without_seeds)
{
    test_instance one("one");
    test_instance two("two");
    member listed;
    listed.id = core::instance_id("two");
    listed.peer_endpoint = {"127.0.0.1", two.duty.port()};
    cr_assert(one.duty.post(membership::platform_listed{{listed}}));
    two.await_members(has_member_count(2, member_state::live));
}

#include "oriolefall/objects/move_duty.hpp"
#include "oriolefall/objects/move_json.hpp"
#include "tests/objects/platform_fixture.hpp"

#include <memory>

#include <criterion/criterion.h>

using namespace oriolefall;
using move::phase;
using tests::platform_fixture;

namespace {

const core::move_name name("weekend");
const core::team_name team("ops");

/// Short times, so that a test ends soon; no assertion depends on them.
move::mover_settings fast_mover_settings()
{
    move::mover_settings settings;
    settings.lease = {absl::Milliseconds(1500), absl::Milliseconds(100)};
    settings.command_timeout = absl::Milliseconds(100);
    settings.command_interval = absl::Milliseconds(100);
    settings.load_interval = absl::Milliseconds(10);
    settings.min_step_time = absl::Milliseconds(50);
    settings.min_answers = 1;
    return settings;
}

/// One instance that is a candidate for the lease. Backend servers load models
/// at once and run no requests; every answer meets its target.
class candidate
{
public:
    candidate(platform_fixture& platform, const std::string& instance,
              core::bounded_ring<move::move_object>& versions)
        : client_(platform.settings()),
          duty_(
              settings(instance), client_.as_object_store(),
              [this] { client_.stop(); }, hooks(versions))
    {
    }

private:
    static objects::move_duty_settings settings(const std::string& instance)
    {
        objects::move_duty_settings settings;
        settings.team = team;
        settings.name = name;
        settings.instance = core::instance_id(instance);
        settings.mover = fast_mover_settings();
        settings.read_interval = absl::Milliseconds(50);
        return settings;
    }

    objects::move_duty_hooks
    hooks(core::bounded_ring<move::move_object>& versions)
    {
        objects::move_duty_hooks hooks;
        hooks.send_command = [this](const move::send_command& command) {
            duty_.try_post(move::command_answered{
                command.server, command.model, move::command_outcome::loaded});
        };
        hooks.move_changed = [this, &versions](const move::move_object& object,
                                               std::uint64_t) {
            versions.push(object);
            post_reports();
        };
        hooks.waiting_changed = [this](const move::wait_status&) {
            post_reports();
        };
        return hooks;
    }

    /// Posts the events that instances report continuously.
    void post_reports()
    {
        duty_.try_post(
            move::attainment_reported{{{core::class_name("c"), 9, 9}}});
        duty_.try_post(
            move::server_load_reported{core::backend_server_id("old"), 0});
    }

    objects::client client_;
    objects::move_duty duty_;
};

void create_move(platform_fixture& platform)
{
    move::move_object object;
    object.name = name;
    object.team = team;
    object.leaving = {core::backend_server_id("old")};
    object.arriving = {
        {core::backend_server_id("new"), {core::model_name("m")}, false}};
    objects::client client(platform.settings());
    const auto result =
        client.put(objects::move_path(team, name), objects::print_move(object),
                   objects::if_absent{});
    cr_assert(std::holds_alternative<objects::written>(result));
}

/// Returns the first version that has ended, from any instance.
move::move_object wait_for_end(core::bounded_ring<move::move_object>& versions)
{
    while (true) {
        auto object = versions.pop();
        cr_assert(object.has_value());
        if (move::is_ended(*object))
            return std::move(*object);
    }
}

} // namespace

Test(move_duty, move_ends_with_several_candidates)
{
    platform_fixture platform;
    core::bounded_ring<move::move_object> versions(1024);
    create_move(platform);
    std::vector<std::unique_ptr<candidate>> candidates;
    for (const char* instance : {"i-1", "i-2", "i-3"})
        candidates.push_back(
            std::make_unique<candidate>(platform, instance, versions));
    const move::move_object ended = wait_for_end(versions);
    versions.close();
    cr_assert(ended.phase == phase::done);
    cr_assert_eq(ended.percent, 100);
    for (std::size_t i = 1; i < ended.history.size(); ++i)
        cr_assert(move::may_follow(ended.history[i - 1].phase,
                                   ended.history[i].phase));
}

Test(move_duty, move_ends_after_lost_answers_and_an_outage)
{
    platform_fixture platform;
    core::bounded_ring<move::move_object> versions(1024);
    create_move(platform);
    platform.set_faults(R"({"lose_answers":6})");
    candidate first(platform, "i-1", versions);
    candidate second(platform, "i-2", versions);
    cr_assert(versions.pop().has_value());
    platform.set_faults(R"({"outage":true})");
    platform.set_faults(R"({"outage":false})");
    const move::move_object ended = wait_for_end(versions);
    versions.close();
    cr_assert(ended.phase == phase::done);
}

Test(move_duty, another_instance_continues_the_move_when_the_holder_stops)
{
    platform_fixture platform;
    core::bounded_ring<move::move_object> versions(1024);
    create_move(platform);
    auto first = std::make_unique<candidate>(platform, "i-1", versions);
    while (versions.pop()->phase == phase::accepted) {
    }
    first.reset();
    candidate second(platform, "i-2", versions);
    const move::move_object ended = wait_for_end(versions);
    versions.close();
    cr_assert(ended.phase == phase::done);
}

#include "oriolefall/move/apply.hpp"
#include "tests/move/mover_simulation.hpp"

#include <algorithm>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using move::phase;
using move::step_cause;
using move::wait_cause;
using tests::injected_faults;
using tests::mover_simulation;

namespace {

constexpr injected_faults healthy{};
constexpr injected_faults faulty{.pause = 0.01,
                                 .lose_answer = 0.2,
                                 .refuse_write = 0.2,
                                 .lose_report = 0.5,
                                 .lose_command = 0.3,
                                 .miss_target = 0.1};

std::vector<step_cause> causes_of(const move::move_object& object)
{
    std::vector<step_cause> causes;
    std::ranges::transform(object.history, std::back_inserter(causes),
                           &move::step_record::cause);
    return causes;
}

std::uint32_t seed()
{
    return *rc::gen::arbitrary<std::uint32_t>();
}

} // namespace

Test(mover, takes_all_steps_of_a_move_in_order)
{
    mover_simulation simulation(1);
    simulation.run(absl::Minutes(10), healthy);
    cr_assert(simulation.violation().empty(), "%s",
              simulation.violation().c_str());
    cr_assert(simulation.object().phase == phase::done);
    const std::vector<step_cause> expected{
        step_cause::begun,           step_cause::models_loaded,
        step_cause::attainment_held, step_cause::attainment_held,
        step_cause::attainment_held, step_cause::all_shifted,
        step_cause::all_drained};
    cr_assert(causes_of(simulation.object()) == expected);
}

Test(mover,
     decreases_the_percentage_while_attainment_is_missed_and_finishes_after)
{
    mover_simulation simulation(2);
    simulation.run(absl::Seconds(60), healthy);
    const std::uint32_t before = simulation.object().percent;
    cr_assert(simulation.object().phase == phase::shifting);
    cr_assert_gt(before, 10);
    simulation.run(absl::Minutes(5), {.miss_target = 1.0});
    cr_assert(simulation.object().phase == phase::shifting);
    cr_assert_eq(simulation.object().percent, 10);
    const move::wait_status status = simulation.current_wait();
    cr_assert(status.cause == wait_cause::attainment);
    cr_assert_eq(status.names[0], "c");
    const auto& last = simulation.object().history.back();
    cr_assert(last.cause == step_cause::attainment_missed);
    cr_assert_eq(last.lowest_class.value(), "c");
    cr_assert_lt(last.attainment, 0.95);
    simulation.run(absl::Minutes(10), healthy);
    cr_assert(simulation.object().phase == phase::done);
}

Test(mover, waits_while_paused_and_finishes_when_resumed)
{
    mover_simulation simulation(3);
    simulation.run(absl::Seconds(40), healthy);
    simulation.set_requested_state(move::requested_state::pause);
    simulation.run(absl::Minutes(10), healthy);
    cr_assert(simulation.object().paused);
    cr_assert_not(move::is_ended(simulation.object()));
    cr_assert(simulation.current_wait().cause == wait_cause::operators);
    simulation.set_requested_state(move::requested_state::run);
    simulation.run(absl::Minutes(10), healthy);
    cr_assert(simulation.object().phase == phase::done);
}

Test(mover, gives_leaving_servers_work_again_when_aborted)
{
    mover_simulation simulation(4);
    simulation.run(absl::Seconds(60), healthy);
    simulation.set_requested_state(move::requested_state::abort);
    simulation.run(absl::Seconds(30), healthy);
    cr_assert(simulation.object().phase == phase::aborted);
    cr_assert(simulation.object().history.back().cause ==
              step_cause::operator_aborted);
    core::backend_server leaving;
    leaving.id = core::backend_server_id("old-1");
    core::backend_server arriving;
    arriving.id = core::backend_server_id("new-1");
    const auto servers =
        move::apply_to_servers(simulation.object(), {leaving, arriving});
    cr_assert_not(servers[0].leaving);
    cr_assert(servers[1].leaving);
}

Test(mover, reports_models_as_the_wait_cause_while_servers_do_not_load)
{
    mover_simulation simulation(5);
    simulation.run(absl::Minutes(3), {.lose_command = 1.0});
    cr_assert(simulation.object().phase == phase::warming);
    const move::wait_status status = simulation.current_wait();
    cr_assert(status.cause == wait_cause::models);
    cr_assert_eq(status.names.size(), 4);
    cr_assert_eq(status.names[0], "new-1/a");
}

Test(mover,
     reports_the_lease_as_the_wait_cause_while_the_platform_is_unavailable)
{
    mover_simulation simulation(6);
    simulation.run(absl::Seconds(40), healthy);
    const phase before = simulation.object().phase;
    simulation.run(absl::Minutes(3), {.refuse_write = 1.0});
    cr_assert(simulation.object().phase == before);
    cr_assert(simulation.current_wait().cause == wait_cause::lease);
    simulation.run(absl::Minutes(10), healthy);
    cr_assert(simulation.object().phase == phase::done);
}

Test(mover, violates_no_invariant_and_finishes_under_pauses_losses_and_delays)
{
    const bool holds =
        rc::check("one holder, no skipped phase, the move finishes", [] {
            mover_simulation simulation(seed());
            simulation.run(absl::Minutes(4), faulty);
            RC_ASSERT(simulation.violation() == "");
            simulation.run_to_end(absl::Minutes(15));
            RC_ASSERT(simulation.violation() == "");
            RC_ASSERT(simulation.object().phase == phase::done);
        });
    cr_assert(holds);
}

Test(mover, a_move_that_has_not_ended_always_reports_a_wait_cause)
{
    const bool holds = rc::check("a cause for each wait", [] {
        mover_simulation simulation(seed());
        simulation.run(absl::Minutes(2), faulty);
        simulation.run(absl::Minutes(5), {.miss_target = 1.0});
        RC_ASSERT(simulation.violation() == "");
        RC_ASSERT(!move::is_ended(simulation.object()) ||
                  simulation.object().phase == phase::done);
        if (!move::is_ended(simulation.object()))
            RC_ASSERT(simulation.current_wait().cause != wait_cause::nothing);
    });
    cr_assert(holds);
}

Test(apply, leaving_servers_get_no_new_work_from_acceptance_on)
{
    const bool holds = rc::check("leaving in every phase except aborted", [] {
        move::move_object object;
        object.leaving = {core::backend_server_id("old")};
        object.phase =
            *rc::gen::element(phase::accepted, phase::warming, phase::shifting,
                              phase::draining, phase::done);
        object.paused = *rc::gen::arbitrary<bool>();
        core::backend_server leaving;
        leaving.id = core::backend_server_id("old");
        core::backend_server other;
        other.id = core::backend_server_id("other");
        const auto servers = move::apply_to_servers(object, {leaving, other});
        RC_ASSERT(servers[0].leaving);
        RC_ASSERT(!servers[1].leaving);
    });
    cr_assert(holds);
}

Test(apply, arriving_servers_use_their_percentage_of_slots)
{
    move::move_object object;
    object.arriving = {{core::backend_server_id("new"), {}, false}};
    core::backend_server server;
    server.id = core::backend_server_id("new");
    server.slots = 16;
    const auto slots_at = [&](std::uint32_t percent) {
        object.percent = percent;
        return move::apply_to_servers(object, {server})[0];
    };
    cr_assert(slots_at(0).leaving);
    cr_assert_not(slots_at(1).leaving);
    cr_assert_eq(slots_at(1).slots, 1);
    cr_assert_eq(slots_at(25).slots, 4);
    cr_assert_eq(slots_at(100).slots, 16);
}

Test(apply, classes_have_the_level_of_the_move_until_it_ends)
{
    move::move_object object;
    object.classes = {{core::class_name("c"), core::tier::interactive, 0}};
    core::service_class some;
    some.name = core::class_name("c");
    some.tier = core::tier::batch;
    cr_assert(move::apply_to_classes(object, {some})[0].tier ==
              core::tier::interactive);
    object.phase = phase::done;
    cr_assert(move::apply_to_classes(object, {some})[0].tier ==
              core::tier::batch);
}

Test(move_object, phases_follow_in_order_or_abort)
{
    cr_assert(move::may_follow(phase::accepted, phase::warming));
    cr_assert(move::may_follow(phase::shifting, phase::shifting));
    cr_assert(move::may_follow(phase::draining, phase::aborted));
    cr_assert_not(move::may_follow(phase::accepted, phase::shifting));
    cr_assert_not(move::may_follow(phase::shifting, phase::warming));
    cr_assert_not(move::may_follow(phase::done, phase::aborted));
    cr_assert_not(move::may_follow(phase::aborted, phase::accepted));
}

#include "dispatch_world.hpp"

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatch_world;
using tests::some_routes;
using tests::some_server;

namespace {

/// A world with two servers of each service.
struct usual_world : dispatch_world
{
    explicit usual_world(const dispatch_settings& settings = {},
                         std::uint32_t max_servers = 2)
        : dispatch_world(settings)
    {
        set_routes(some_routes(1, max_servers));
        set_servers({some_server("d1", "desk"), some_server("d2", "desk"),
                     some_server("e1", "engine"), some_server("e2", "engine")});
    }
};

call_not_run not_run(const send_call& call, not_run_cause cause)
{
    return {call.id, call.call, cause, std::nullopt};
}

call_broken broken(const send_call& call, bool begun)
{
    return {call.id, call.call, broken_cause::connection_lost, begun};
}

} // namespace

Test(dispatcher, knows_no_settings_at_first_and_promises_not_run)
{
    dispatch_world world;
    world.arrive("safe");
    const auto* refused = world.last<refuse>();
    cr_assert(refused->cause == refusal::no_settings);
    cr_assert(refused->not_run);
    cr_assert(refused->retry_after > absl::ZeroDuration());
}

Test(dispatcher, refuses_an_unknown_path_and_an_unknown_key)
{
    usual_world world;
    world.arrive("nowhere");
    cr_assert(world.last<refuse>()->cause == refusal::unknown_route);
    auto settings = some_routes(2);
    settings.workspaces = {{core::workspace_id("club"), {"key"}, {}}};
    world.set_routes(settings);
    world.arrive("safe");
    cr_assert(world.last<refuse>()->cause == refusal::unknown_key);
}

Test(dispatcher, an_older_version_of_the_settings_changes_nothing)
{
    usual_world world;
    auto older = some_routes(0);
    older.routes.clear();
    world.set_routes(older);
    world.arrive("safe");
    cr_assert_eq(world.count<send_call>(), 1);
}

Test(dispatcher, sends_nothing_to_a_server_that_leaves)
{
    usual_world world;
    auto leaving = some_server("d1", "desk");
    leaving.leaving = true;
    world.set_servers({leaving, some_server("d2", "desk")});
    for (int i = 0; i < 5; ++i) {
        world.arrive("unsafe");
        cr_assert_eq(world.last<send_call>()->server.value(), "d2");
    }
}

Test(dispatcher, a_server_in_doubt_is_the_last_resort)
{
    usual_world world;
    world.set_servers({some_server("d1", "desk"), some_server("d2", "desk")},
                      {core::backend_server_id("d1")});
    world.arrive("safe");
    cr_assert_eq(world.last<send_call>()->server.value(), "d2");
    world.set_servers({some_server("d1", "desk")},
                      {core::backend_server_id("d1")});
    world.arrive("safe");
    cr_assert_eq(world.last<send_call>()->server.value(), "d1");
}

Test(dispatcher, a_refused_call_goes_to_another_server_once)
{
    usual_world world;
    world.arrive("unsafe");
    const send_call first = *world.last<send_call>();
    world.give(not_run(first, not_run_cause::refused));
    const send_call second = *world.last<send_call>();
    cr_assert_neq(second.server.value(), first.server.value());
    world.give(not_run(second, not_run_cause::refused));
    cr_assert_eq(world.count<send_call>(), 2);
    cr_assert(world.last<refuse>()->not_run);
}

Test(dispatcher, a_server_out_of_reach_does_not_count_as_tried)
{
    usual_world world({}, 1);
    world.arrive("unsafe");
    world.give(not_run(*world.last<send_call>(), not_run_cause::not_connected));
    cr_assert_eq(world.count<send_call>(), 2);
}

Test(dispatcher, at_most_once_work_that_broke_is_not_sent_again)
{
    usual_world world;
    world.arrive("unsafe");
    world.give(broken(*world.last<send_call>(), false));
    cr_assert_eq(world.count<send_call>(), 1);
    cr_assert_not(world.last<refuse>()->not_run);
    world.arrive("stream");
    world.give(broken(*world.last<send_call>(), false));
    cr_assert_eq(world.count<send_call>(), 2);
    cr_assert_not(world.last<refuse>()->not_run);
}

Test(dispatcher, idempotent_work_that_broke_goes_to_another_server)
{
    usual_world world;
    world.arrive("safe");
    world.give(broken(*world.last<send_call>(), false));
    cr_assert_eq(world.count<send_call>(), 2);
    cr_assert_eq(world.count<refuse>(), 0);
}

Test(dispatcher, only_a_resumable_stream_goes_on_after_its_answer_began)
{
    usual_world world;
    world.arrive("resumable");
    const send_call first = *world.last<send_call>();
    world.give(call_answered{first.id, first.call, 200, std::nullopt});
    world.give(broken(first, true));
    cr_assert_eq(world.count<send_call>(), 2);
    cr_assert_neq(world.last<send_call>()->server.value(),
                  first.server.value());
}

Test(dispatcher, an_error_is_passed_on_when_no_server_is_left_to_try)
{
    usual_world world;
    world.arrive("safe");
    const send_call first = *world.last<send_call>();
    cr_assert(first.hold_errors);
    world.give(call_failed{first.id, first.call, 500, std::nullopt});
    const send_call second = *world.last<send_call>();
    world.give(call_failed{second.id, second.call, 500, std::nullopt});
    cr_assert_eq(world.count<pass_failure>(), 1);
    cr_assert_eq(world.subject.open_requests(), 0);
}

Test(dispatcher, repeats_keep_to_the_budget)
{
    dispatch_settings settings;
    settings.repeats = {.ratio = 0, .extra = 4, .used_share = 1};
    settings.least_instances = 2;
    // The servers' failures are not what this is about.
    settings.ejection.failures_in_a_row = 1000;
    settings.ejection.failure_share = 2;
    usual_world world(settings);
    for (int i = 0; i < 10; ++i) {
        world.arrive("safe");
        world.give(broken(*world.last<send_call>(), false));
    }
    cr_assert_eq(world.count<send_call>(), 12);
}

Test(dispatcher, a_request_ends_at_the_limit_of_its_route)
{
    usual_world world;
    const auto id = world.arrive("unsafe");
    world.pass(absl::Milliseconds(10200));
    cr_assert_eq(world.count<cancel_call>(), 1);
    const auto* refused = world.last<refuse>();
    cr_assert_eq(refused->id, id);
    cr_assert(refused->cause == refusal::time_over);
    cr_assert_not(refused->not_run);
}

Test(dispatcher, a_caller_that_left_is_cancelled_at_the_server)
{
    usual_world world;
    const auto id = world.arrive("stream");
    world.give(caller_left{id});
    cr_assert_eq(world.last<cancel_call>()->id, id);
    cr_assert_eq(world.subject.open_requests(), 0);
}

Test(dispatcher, a_shared_prompt_stays_with_the_engine_that_read_it)
{
    usual_world world;
    world.arrive("stream", {{7, 9000}, {100, 50}});
    const auto home = world.last<send_call>()->server;
    for (std::uint64_t own = 101; own < 110; ++own) {
        world.arrive("stream", {{7, 9000}, {own, 50}});
        cr_assert_eq(world.last<send_call>()->server.value(), home.value());
    }
}

Test(dispatcher, all_instances_choose_the_same_home)
{
    usual_world one;
    usual_world other;
    for (std::uint64_t prompt = 1; prompt < 40; ++prompt) {
        one.arrive("stream", {{prompt, 9000}, {1000 + prompt, 50}});
        other.arrive("stream", {{prompt, 9000}, {2000 + prompt, 50}});
        cr_assert_eq(one.last<send_call>()->server.value(),
                     other.last<send_call>()->server.value());
        one.give(call_done{
            one.last<send_call>()->id, one.last<send_call>()->call, 1, {}});
        other.give(call_done{
            other.last<send_call>()->id, other.last<send_call>()->call, 1, {}});
    }
}

// With the priority of the workspace alone, an urgent request of a less urgent
// workspace was preempted by a patient one of another.
Test(dispatcher, the_workspace_goes_before_the_route_and_does_not_hide_it)
{
    usual_world world;
    world.arrive("resumable");
    cr_assert_eq(world.last<send_call>()->priority, 2);
    world.arrive("safe");
    cr_assert_eq(world.last<send_call>()->priority, -1);
    auto settings = some_routes(2);
    settings.workspaces = {{core::workspace_id("first"), {"key-0"}, 0},
                           {core::workspace_id("second"), {"key-1"}, 1}};
    world.set_routes(settings);
    const auto urgency = [&](const std::string& route, const std::string& key) {
        static std::uint64_t id = 1000;
        arrival with_key;
        with_key.id = core::request_id(++id);
        with_key.host = "host";
        with_key.path = "/" + route + "/1";
        with_key.api_key = key;
        with_key.received = world.now;
        world.give(with_key);
        return world.last<send_call>()->priority;
    };
    cr_assert_lt(urgency("stream", "key-0"), urgency("resumable", "key-0"));
    cr_assert_lt(urgency("resumable", "key-0"), urgency("stream", "key-1"));
    cr_assert_lt(urgency("stream", "key-1"), urgency("resumable", "key-1"));
    cr_assert_eq(world.last<send_call>()->workspace.value(), "second");
}

Test(dispatcher, reports_its_load_while_requests_are_open)
{
    usual_world world;
    world.arrive("stream", {{7, 500}, {8, 100}});
    world.pass(absl::Milliseconds(200));
    const auto* told = world.last<tell_load>();
    cr_assert_not_null(told);
    cr_assert_eq(told->report.servers.size(), 1);
    cr_assert_eq(told->report.servers.front().calls, 1);
    cr_assert_gt(told->report.servers.front().backlog_tokens, 0);
}

Test(dispatcher, the_load_of_others_moves_plain_work_elsewhere)
{
    usual_world world;
    world.give(load_heard{core::instance_id("other"),
                          {{{core::backend_server_id("d1"), 8, 0}}}});
    world.arrive("safe");
    cr_assert_eq(world.last<send_call>()->server.value(), "d2");
}

Test(dispatcher, idempotent_work_at_a_silent_server_goes_elsewhere)
{
    usual_world world;
    world.arrive("safe");
    const send_call first = *world.last<send_call>();
    cr_assert_lt(first.first_limit, absl::Seconds(1));
    world.give(call_silent{first.id, first.call});
    cr_assert_eq(world.last<cancel_call>()->call, first.call);
    cr_assert_neq(world.last<send_call>()->server.value(),
                  first.server.value());
}

// Calls given up before an engine began were cut just as it did begin: urgent
// requests then stood behind less urgent ones at the next engine.
Test(dispatcher, an_engine_that_has_not_begun_is_waited_for)
{
    usual_world world;
    world.arrive("resumable");
    const send_call sent = *world.last<send_call>();
    cr_assert_eq(sent.first_limit, absl::InfiniteDuration());
    cr_assert_lt(sent.gap_limit, absl::InfiniteDuration());
}

Test(dispatcher, silence_alone_ends_no_answer)
{
    usual_world world({}, 1);
    for (const std::string route : {"safe", "unsafe", "stream", "resumable"}) {
        world.arrive(route);
        const send_call sent = *world.last<send_call>();
        cr_assert_eq(sent.first_limit, absl::InfiniteDuration());
        world.give(call_silent{sent.id, sent.call});
    }
    cr_assert_eq(world.count<cancel_call>(), 0);
    cr_assert_eq(world.count<refuse>(), 0);
}

Test(dispatcher, a_plain_server_that_answers_nothing_in_time_is_left_out)
{
    usual_world world;
    world.set_servers({some_server("d1", "desk")});
    for (int i = 0; i < 3; ++i) {
        world.arrive("unsafe");
        world.pass(absl::Milliseconds(10100));
    }
    world.set_servers({some_server("d1", "desk"), some_server("d2", "desk")});
    world.arrive("unsafe");
    cr_assert_eq(world.last<send_call>()->server.value(), "d2");
}

Test(dispatcher, tells_callers_to_come_back_when_it_can_be_otherwise)
{
    // Without settings the store must come back first, for seconds.
    dispatch_world world;
    world.arrive("safe");
    const auto* unsettled = world.last<dispatch::refuse>();
    cr_assert_neq(unsettled, nullptr);
    cr_assert(unsettled->not_run);
    cr_assert_geq(unsettled->retry_after, absl::Seconds(1));
    world.set_routes(some_routes(1));
    world.set_servers({});
    world.arrive("safe");
    const auto* empty = world.last<dispatch::refuse>();
    cr_assert_eq(empty->cause, dispatch::refusal::no_server);
    cr_assert_geq(empty->retry_after, absl::Milliseconds(500));
    cr_assert_lt(empty->retry_after, absl::Seconds(1));
}

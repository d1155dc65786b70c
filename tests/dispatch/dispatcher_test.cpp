#include "dispatcher_simulation.hpp"

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatcher_simulation;
using tests::make_route_settings;
using tests::make_server_entry;

namespace {

/// A simulation with two servers of each service.
struct two_server_simulation : dispatcher_simulation
{
    explicit two_server_simulation(const dispatch_settings& settings = {},
                                   std::uint32_t max_servers = 2)
        : dispatcher_simulation(settings)
    {
        set_routes(make_route_settings(1, max_servers));
        set_servers({make_server_entry("d1", "desk"),
                     make_server_entry("d2", "desk"),
                     make_server_entry("e1", "engine"),
                     make_server_entry("e2", "engine")});
    }
};

call_not_run not_run(const send_call& call, not_run_cause cause)
{
    return {call.id, call.call, cause, {}};
}

call_broken broken(const send_call& call, bool has_answer_started)
{
    return {call.id, call.call, broken_cause::connection_lost,
            has_answer_started};
}

} // namespace

Test(dispatcher, refuses_as_not_run_before_settings_are_received)
{
    dispatcher_simulation simulation;
    simulation.receive_request("safe");
    const auto* refused = simulation.last<refuse>();
    cr_assert(refused->cause == refusal::no_settings);
    cr_assert(refused->not_run);
    cr_assert(refused->retry_after > absl::ZeroDuration());
}

Test(dispatcher, refuses_an_unknown_path_and_an_unknown_key)
{
    two_server_simulation simulation;
    simulation.receive_request("nowhere");
    cr_assert(simulation.last<refuse>()->cause == refusal::unknown_route);
    auto settings = make_route_settings(2);
    settings.workspaces = {{core::workspace_id("club"), {"key"}, {}}};
    simulation.set_routes(settings);
    simulation.receive_request("safe");
    cr_assert(simulation.last<refuse>()->cause == refusal::unknown_key);
}

Test(dispatcher, ignores_an_older_version_of_the_settings)
{
    two_server_simulation simulation;
    auto older = make_route_settings(0);
    older.routes.clear();
    simulation.set_routes(older);
    simulation.receive_request("safe");
    cr_assert_eq(simulation.count<send_call>(), 1);
}

Test(dispatcher, sends_no_calls_to_a_draining_server)
{
    two_server_simulation simulation;
    auto draining = make_server_entry("d1", "desk");
    draining.is_draining = true;
    simulation.set_servers({draining, make_server_entry("d2", "desk")});
    for (int i = 0; i < 5; ++i) {
        simulation.receive_request("unsafe");
        cr_assert_eq(simulation.last<send_call>()->server.value(), "d2");
    }
}

Test(dispatcher, uses_a_stale_server_only_when_no_other_is_available)
{
    two_server_simulation simulation;
    simulation.set_servers(
        {make_server_entry("d1", "desk"), make_server_entry("d2", "desk")},
        {core::backend_server_id("d1")});
    simulation.receive_request("safe");
    cr_assert_eq(simulation.last<send_call>()->server.value(), "d2");
    simulation.set_servers({make_server_entry("d1", "desk")},
                           {core::backend_server_id("d1")});
    simulation.receive_request("safe");
    cr_assert_eq(simulation.last<send_call>()->server.value(), "d1");
}

Test(dispatcher, retries_a_refused_call_once_at_another_server)
{
    two_server_simulation simulation;
    simulation.receive_request("unsafe");
    const send_call first = *simulation.last<send_call>();
    simulation.step(not_run(first, not_run_cause::refused));
    const send_call second = *simulation.last<send_call>();
    cr_assert_neq(second.server.value(), first.server.value());
    simulation.step(not_run(second, not_run_cause::refused));
    cr_assert_eq(simulation.count<send_call>(), 2);
    cr_assert(simulation.last<refuse>()->not_run);
}

Test(dispatcher, an_unreachable_server_does_not_count_against_max_servers)
{
    two_server_simulation simulation({}, 1);
    simulation.receive_request("unsafe");
    simulation.step(
        not_run(*simulation.last<send_call>(), not_run_cause::not_connected));
    cr_assert_eq(simulation.count<send_call>(), 2);
}

Test(dispatcher, does_not_retry_a_broken_call_of_a_non_idempotent_request)
{
    two_server_simulation simulation;
    simulation.receive_request("unsafe");
    simulation.step(broken(*simulation.last<send_call>(), false));
    cr_assert_eq(simulation.count<send_call>(), 1);
    cr_assert_not(simulation.last<refuse>()->not_run);
    simulation.receive_request("stream");
    simulation.step(broken(*simulation.last<send_call>(), false));
    cr_assert_eq(simulation.count<send_call>(), 2);
    cr_assert_not(simulation.last<refuse>()->not_run);
}

Test(dispatcher, retries_a_broken_call_of_an_idempotent_request)
{
    two_server_simulation simulation;
    simulation.receive_request("safe");
    simulation.step(broken(*simulation.last<send_call>(), false));
    cr_assert_eq(simulation.count<send_call>(), 2);
    cr_assert_eq(simulation.count<refuse>(), 0);
}

Test(dispatcher, resumes_a_resumable_stream_at_another_server)
{
    two_server_simulation simulation;
    simulation.receive_request("resumable");
    const send_call first = *simulation.last<send_call>();
    simulation.step(call_answer_started{first.id, first.call, 200, {}});
    simulation.step(broken(first, true));
    cr_assert_eq(simulation.count<send_call>(), 2);
    cr_assert_neq(simulation.last<send_call>()->server.value(),
                  first.server.value());
}

// A stream was resumed after an event that could not be relied on.
Test(dispatcher, resumes_no_stream_of_which_a_sent_part_may_be_wrong)
{
    two_server_simulation simulation;
    simulation.receive_request("resumable");
    const send_call first = *simulation.last<send_call>();
    simulation.step(call_answer_started{first.id, first.call, 200, {}});
    call_broken faulty = broken(first, true);
    faulty.cause = broken_cause::malformed;
    faulty.may_resume = false;
    simulation.step(faulty);
    cr_assert_eq(simulation.count<send_call>(), 1);
    cr_assert_eq(simulation.count<refuse>(), 1);
}

Test(dispatcher, forwards_an_error_answer_when_max_servers_is_reached)
{
    two_server_simulation simulation;
    simulation.receive_request("safe");
    const send_call first = *simulation.last<send_call>();
    cr_assert(first.holds_error_answers);
    simulation.step(call_failed{first.id, first.call, 500, {}});
    const send_call second = *simulation.last<send_call>();
    simulation.step(call_failed{second.id, second.call, 500, {}});
    cr_assert_eq(simulation.count<forward_error_answer>(), 1);
    cr_assert_eq(simulation.subject.open_requests(), 0);
}

Test(dispatcher, retries_stay_within_the_budget)
{
    dispatch_settings settings;
    settings.retry_budget = {.ratio = 0, .extra = 4, .usable_share = 1};
    settings.min_instances = 2;
    // Keeps failures from ejecting the servers.
    settings.ejection.consecutive_failures = 1000;
    settings.ejection.failure_ratio = 2;
    two_server_simulation simulation(settings);
    for (int i = 0; i < 10; ++i) {
        simulation.receive_request("safe");
        simulation.step(broken(*simulation.last<send_call>(), false));
    }
    cr_assert_eq(simulation.count<send_call>(), 12);
}

Test(dispatcher, a_request_ends_at_the_timeout_of_its_route)
{
    two_server_simulation simulation;
    const auto id = simulation.receive_request("unsafe");
    simulation.advance(absl::Milliseconds(10200));
    cr_assert_eq(simulation.count<cancel_call>(), 1);
    const auto* refused = simulation.last<refuse>();
    cr_assert_eq(refused->id, id);
    cr_assert(refused->cause == refusal::time_over);
    cr_assert_not(refused->not_run);
}

Test(dispatcher, cancels_the_call_of_a_disconnected_caller)
{
    two_server_simulation simulation;
    const auto id = simulation.receive_request("stream");
    simulation.step(caller_left{id});
    cr_assert_eq(simulation.last<cancel_call>()->id, id);
    cr_assert_eq(simulation.subject.open_requests(), 0);
}

Test(dispatcher, sends_a_shared_prompt_to_the_engine_that_has_it_cached)
{
    two_server_simulation simulation;
    simulation.receive_request("stream", {{7, 9000}, {100, 50}});
    const auto affinity_server = simulation.last<send_call>()->server;
    for (std::uint64_t part = 101; part < 110; ++part) {
        simulation.receive_request("stream", {{7, 9000}, {part, 50}});
        cr_assert_eq(simulation.last<send_call>()->server.value(),
                     affinity_server.value());
    }
}

Test(dispatcher, all_instances_choose_the_same_affinity_server)
{
    two_server_simulation one;
    two_server_simulation other;
    for (std::uint64_t prompt = 1; prompt < 40; ++prompt) {
        one.receive_request("stream", {{prompt, 9000}, {1000 + prompt, 50}});
        other.receive_request("stream", {{prompt, 9000}, {2000 + prompt, 50}});
        cr_assert_eq(one.last<send_call>()->server.value(),
                     other.last<send_call>()->server.value());
        one.step(call_completed{
            one.last<send_call>()->id, one.last<send_call>()->call, 1, {}});
        other.step(call_completed{
            other.last<send_call>()->id, other.last<send_call>()->call, 1, {}});
    }
}

// Guards against a priority that depends on the workspace only: an urgent
// request was then preempted by a less urgent one of another workspace.
Test(dispatcher, priority_orders_by_workspace_first_and_by_route_within_it)
{
    two_server_simulation simulation;
    simulation.receive_request("resumable");
    cr_assert_eq(simulation.last<send_call>()->priority, 2);
    simulation.receive_request("safe");
    cr_assert_eq(simulation.last<send_call>()->priority, -1);
    auto settings = make_route_settings(2);
    settings.workspaces = {{core::workspace_id("first"), {"key-0"}, 0},
                           {core::workspace_id("second"), {"key-1"}, 1}};
    simulation.set_routes(settings);
    const auto priority_of = [&](const std::string& route,
                                 const std::string& key) {
        static std::uint64_t id = 1000;
        arrival with_key;
        with_key.id = core::request_id(++id);
        with_key.host = "host";
        with_key.path = "/" + route + "/1";
        with_key.api_key = key;
        with_key.received_at = simulation.now;
        simulation.step(with_key);
        return simulation.last<send_call>()->priority;
    };
    cr_assert_lt(priority_of("stream", "key-0"),
                 priority_of("resumable", "key-0"));
    cr_assert_lt(priority_of("resumable", "key-0"),
                 priority_of("stream", "key-1"));
    cr_assert_lt(priority_of("stream", "key-1"),
                 priority_of("resumable", "key-1"));
    cr_assert_eq(simulation.last<send_call>()->workspace.value(), "second");
}

Test(dispatcher, sends_load_reports_while_requests_are_open)
{
    two_server_simulation simulation;
    simulation.receive_request("stream", {{7, 500}, {8, 100}});
    simulation.advance(absl::Milliseconds(200));
    const auto* sent = simulation.last<send_load_report>();
    cr_assert_not_null(sent);
    cr_assert_eq(sent->report.servers.size(), 1);
    cr_assert_eq(sent->report.servers.front().calls, 1);
    cr_assert_gt(sent->report.servers.front().backlog_tokens, 0);
}

Test(dispatcher, avoids_a_plain_server_loaded_by_another_instance)
{
    two_server_simulation simulation;
    simulation.step(
        load_report_received{core::instance_id("other"),
                             {{{core::backend_server_id("d1"), 8, 0}}, {}}});
    simulation.receive_request("safe");
    cr_assert_eq(simulation.last<send_call>()->server.value(), "d2");
}

Test(dispatcher, retries_a_stalled_idempotent_call_at_another_server)
{
    two_server_simulation simulation;
    simulation.receive_request("safe");
    const send_call first = *simulation.last<send_call>();
    cr_assert_lt(first.first_event_timeout, absl::Seconds(1));
    simulation.step(call_silent{first.id, first.call});
    cr_assert_eq(simulation.last<cancel_call>()->call, first.call);
    cr_assert_neq(simulation.last<send_call>()->server.value(),
                  first.server.value());
}

// Guards against cancelling calls before the first event of an engine. They
// were cancelled just as the engine started to answer, and urgent requests were
// then queued behind less urgent ones at the next engine.
Test(dispatcher, waits_for_the_first_event_of_an_engine_without_timeout)
{
    two_server_simulation simulation;
    simulation.receive_request("resumable");
    const send_call sent = *simulation.last<send_call>();
    cr_assert_eq(sent.first_event_timeout, absl::InfiniteDuration());
    cr_assert_lt(sent.gap_timeout, absl::InfiniteDuration());
}

Test(dispatcher, keeps_a_stalled_call_that_cannot_be_retried)
{
    two_server_simulation simulation({}, 1);
    for (const std::string route : {"safe", "unsafe", "stream", "resumable"}) {
        simulation.receive_request(route);
        const send_call sent = *simulation.last<send_call>();
        cr_assert_eq(sent.first_event_timeout, absl::InfiniteDuration());
        simulation.step(call_silent{sent.id, sent.call});
    }
    cr_assert_eq(simulation.count<cancel_call>(), 0);
    cr_assert_eq(simulation.count<refuse>(), 0);
}

Test(dispatcher, ejects_a_plain_server_that_does_not_answer_in_time)
{
    two_server_simulation simulation;
    simulation.set_servers({make_server_entry("d1", "desk")});
    for (int i = 0; i < 3; ++i) {
        simulation.receive_request("unsafe");
        simulation.advance(absl::Milliseconds(10100));
    }
    simulation.set_servers(
        {make_server_entry("d1", "desk"), make_server_entry("d2", "desk")});
    simulation.receive_request("unsafe");
    cr_assert_eq(simulation.last<send_call>()->server.value(), "d2");
}

Test(dispatcher, retry_after_depends_on_the_cause_of_the_refusal)
{
    // Without settings the store must become reachable first, which takes
    // seconds.
    dispatcher_simulation simulation;
    simulation.receive_request("safe");
    const auto* without_settings = simulation.last<dispatch::refuse>();
    cr_assert_neq(without_settings, nullptr);
    cr_assert(without_settings->not_run);
    cr_assert_geq(without_settings->retry_after, absl::Seconds(1));
    simulation.set_routes(make_route_settings(1));
    simulation.set_servers({});
    simulation.receive_request("safe");
    const auto* without_server = simulation.last<dispatch::refuse>();
    cr_assert_eq(without_server->cause, dispatch::refusal::no_server);
    cr_assert_geq(without_server->retry_after, absl::Milliseconds(500));
    cr_assert_lt(without_server->retry_after, absl::Seconds(1));
}

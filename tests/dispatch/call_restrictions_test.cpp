#include "dispatcher_simulation.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatcher_simulation;
using tests::make_route_settings;
using tests::make_server_entry;

namespace {

server_notice leaving()
{
    server_notice notice;
    notice.is_leaving = true;
    return notice;
}

server_notice quiet(absl::Duration time)
{
    server_notice notice;
    notice.quiet_time = time;
    return notice;
}

/// One plain server, and what it says in its first answer.
struct one_server_simulation : dispatcher_simulation
{
    explicit one_server_simulation(const server_notice& notice)
    {
        set_routes(make_route_settings(1));
        set_servers({entry});
        receive_request("unsafe");
        const send_call call = *last<send_call>();
        step(call_not_run{call.id, call.call, not_run_cause::refused, notice});
    }

    /// True when a request is sent to the server; else it must have been
    /// refused as not run.
    bool is_sent()
    {
        const std::size_t before = count<send_call>();
        receive_request("unsafe");
        if (count<send_call>() > before) {
            const send_call call = *last<send_call>();
            step(call_answer_started{call.id, call.call, 200, {}});
            step(call_completed{call.id, call.call, 0, {}});
            return true;
        }
        cr_assert(last<refuse>()->not_run);
        cr_assert(last<refuse>()->retry_after > absl::ZeroDuration());
        return false;
    }

    server_entry entry = make_server_entry("d1", "desk");
};

} // namespace

// A server that had said that it leaves got requests until the store said so
// too, and again when a list came that did not.
Test(call_restrictions,
     a_server_that_leaves_gets_nothing_whatever_the_store_says)
{
    one_server_simulation simulation(leaving());
    cr_assert_not(simulation.is_sent());
    simulation.set_servers({simulation.entry});
    cr_assert_not(simulation.is_sent());
    simulation.set_servers({});
    simulation.set_servers({simulation.entry});
    cr_assert_not(simulation.is_sent());
    simulation.advance(absl::Hours(1));
    cr_assert_not(simulation.is_sent());
}

Test(call_restrictions, leaving_ends_with_the_incarnation)
{
    one_server_simulation simulation(leaving());
    ++simulation.entry.started_at_ms;
    simulation.set_servers({simulation.entry});
    cr_assert(simulation.is_sent());
}

Test(call_restrictions, another_server_at_the_address_is_used)
{
    one_server_simulation simulation(leaving());
    simulation.set_servers({make_server_entry("d2", "desk")});
    cr_assert(simulation.is_sent());
}

// A server that had asked for a pause got the next request at once.
Test(call_restrictions, a_server_that_wants_quiet_gets_nothing_until_then)
{
    one_server_simulation simulation(quiet(absl::Seconds(3)));
    cr_assert_not(simulation.is_sent());
    cr_assert_eq(simulation.last<refuse>()->cause, refusal::servers_limited);
    cr_assert_geq(
        absl::ToInt64Milliseconds(simulation.last<refuse>()->retry_after),
        3000);
    simulation.advance(absl::Milliseconds(2990));
    simulation.set_servers({});
    simulation.set_servers({simulation.entry});
    cr_assert_not(simulation.is_sent());
    simulation.advance(absl::Milliseconds(400));
    cr_assert(simulation.is_sent());
}

Test(call_restrictions, a_time_of_zero_is_no_time)
{
    one_server_simulation simulation(quiet(absl::ZeroDuration()));
    cr_assert(simulation.is_sent());
}

Test(call_restrictions, a_shorter_time_does_not_end_a_longer_one)
{
    one_server_simulation simulation(quiet(absl::Seconds(1)));
    simulation.advance(absl::Milliseconds(1200));
    simulation.receive_request("unsafe");
    const send_call first = *simulation.last<send_call>();
    simulation.receive_request("unsafe");
    const send_call second = *simulation.last<send_call>();
    simulation.step(call_not_run{first.id, first.call, not_run_cause::refused,
                                 quiet(absl::Seconds(20))});
    simulation.step(call_not_run{second.id, second.call, not_run_cause::refused,
                                 quiet(absl::Seconds(1))});
    simulation.advance(absl::Seconds(10));
    cr_assert_not(simulation.is_sent());
}

// The answer came from the server that has the address now.
Test(call_restrictions, of_another_server_say_nothing_of_the_one_called)
{
    dispatcher_simulation simulation;
    simulation.set_routes(make_route_settings(1));
    simulation.set_servers({make_server_entry("d1", "desk")});
    simulation.receive_request("unsafe");
    const send_call call = *simulation.last<send_call>();
    simulation.step(call_not_run{call.id, call.call,
                                 not_run_cause::wrong_server, leaving()});
    cr_assert_eq(simulation.count<notice_record>(), 0);
}

Test(call_restrictions, the_request_that_was_refused_goes_elsewhere)
{
    dispatcher_simulation simulation;
    simulation.set_routes(make_route_settings(1));
    simulation.set_servers(
        {make_server_entry("d1", "desk"), make_server_entry("d2", "desk")});
    simulation.receive_request("unsafe");
    const send_call first = *simulation.last<send_call>();
    simulation.step(call_not_run{first.id, first.call, not_run_cause::refused,
                                 quiet(absl::Seconds(5))});
    cr_assert_eq(simulation.count<send_call>(), 2);
    cr_assert_neq(simulation.last<send_call>()->server.value(),
                  first.server.value());
}

Test(call_restrictions, of_a_third_of_thousands_of_servers_are_obeyed)
{
    constexpr int server_count = 2400;
    dispatcher_simulation simulation;
    simulation.set_routes(make_route_settings(1));
    std::vector<server_entry> servers;
    std::set<core::backend_server_id> leavers;
    for (int i = 0; i < server_count; ++i) {
        servers.push_back(make_server_entry("d" + std::to_string(i), "desk"));
        if (i % 3 == 0)
            leavers.insert(servers.back().id);
    }
    simulation.set_servers(servers);
    std::set<core::backend_server_id> heard;
    for (int i = 0; i < server_count; ++i) {
        simulation.receive_request("unsafe");
        const send_call call = *simulation.last<send_call>();
        cr_assert_not(heard.contains(call.server));
        const bool is_leaver = leavers.contains(call.server);
        if (is_leaver)
            heard.insert(call.server);
        simulation.step(call_answer_started{
            call.id, call.call, 200, is_leaver ? leaving() : server_notice{}});
        simulation.actions.clear();
    }
    cr_assert_eq(heard.size(), leavers.size());
}

#include "dispatcher_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatcher_simulation;
using tests::make_route_settings;
using tests::make_server_entry;

namespace {

constexpr prompt_part common_part{1, 800};
constexpr prompt_part crashing_part{2, 400};
constexpr int engine_count = 8;
/// Time from a call to its first event, or to the crash that it causes.
constexpr auto prefill_time = absl::Milliseconds(100);

/// Engines that end when they begin to answer a prompt with `crashing_part`.
struct crashing_engines : dispatcher_simulation
{
    crashing_engines()
    {
        set_routes(make_route_settings(1));
        for (int i = 0; i < engine_count; ++i)
            engines_.push_back(
                make_server_entry("e" + std::to_string(i), "engine"));
        set_servers(engines_);
    }

    prompt_part next_own_part()
    {
        return {++last_own_part_, 100};
    }

    /// Number of calls that a request with these shared parts caused.
    std::size_t receive(std::vector<prompt_part> prompt, bool crashes)
    {
        prompt.push_back(next_own_part());
        const std::size_t before = count<send_call>();
        const auto id = receive_request("resumable", std::move(prompt));
        std::size_t calls = 0;
        while (count<send_call>() - before > calls) {
            const send_call call = *last<send_call>();
            ++calls;
            advance(prefill_time);
            if (crashes) {
                step(call_broken{id, call.call, broken_cause::connection_lost,
                                 false});
                restart(call.server);
            } else {
                step(call_answer_started{id, call.call, 200, {}});
                advance(absl::Seconds(1));
                step(call_completed{id, call.call, 8, {}});
            }
        }
        return calls;
    }

private:
    void restart(const core::backend_server_id& id)
    {
        ++std::ranges::find(engines_, id, &server_entry::id)->started_at_ms;
        set_servers(engines_);
    }

    std::vector<server_entry> engines_;
    std::uint64_t last_own_part_ = 1000;
};

} // namespace

// Incident "prompts that crash servers": each request with such a part was
// sent to a server, and most to a second one, however many had ended before.
Test(crashing_prompt, is_not_sent_to_more_servers_after_five_have_ended)
{
    crashing_engines engines;
    constexpr std::size_t max_crashes = 5;
    std::size_t crashes = 0;
    for (int i = 0; i < 20; ++i) {
        cr_assert_eq(engines.receive({common_part}, false), 1);
        crashes += engines.receive({common_part, crashing_part}, true);
        engines.advance(absl::Milliseconds(700));
    }
    cr_assert_leq(crashes, max_crashes);
}

// The first part of a crashing prompt is also in sound requests: refusing it
// would turn away a whole group of callers.
Test(crashing_prompt, leaves_requests_that_share_only_its_other_parts)
{
    crashing_engines engines;
    for (int i = 0; i < 20; ++i) {
        engines.receive({common_part, crashing_part}, true);
        cr_assert_eq(engines.receive({common_part}, false), 1);
    }
    cr_assert_eq(engines.last<refuse>()->cause, refusal::quarantined_prompt);
}

// Parts that were only ever seen together can't be told apart by crashes, so
// only requests with both may be refused.
Test(crashing_prompt, keeps_back_the_combination_until_the_parts_differ)
{
    crashing_engines engines;
    for (int i = 0; i < 10; ++i) {
        engines.receive({common_part, crashing_part}, true);
        engines.advance(absl::Seconds(1));
    }
    cr_assert_eq(engines.receive({common_part, crashing_part}, true), 0);
    constexpr prompt_part other_part{3, 800};
    cr_assert_eq(engines.receive({other_part, crashing_part}, true), 1);
    cr_assert_eq(engines.receive({other_part, crashing_part}, true), 0);
    cr_assert_eq(engines.receive({other_part}, false), 1);
    cr_assert_eq(engines.receive({common_part}, false), 1);
}

Test(crashing_prompt, ends_a_waiting_request_before_it_reaches_an_engine)
{
    crashing_engines engines;
    const auto waiting = engines.receive_request(
        "stream", {common_part, crashing_part, engines.next_own_part()});
    const auto waiting_call = engines.last<send_call>()->call;
    for (int i = 0; i < 5; ++i) {
        engines.receive({common_part, crashing_part}, true);
        engines.advance(absl::Seconds(1));
    }
    const auto* cancelled = engines.last<cancel_call>();
    cr_assert_not_null(cancelled);
    cr_assert_eq(cancelled->id.value(), waiting.value());
    cr_assert_eq(cancelled->call.value(), waiting_call.value());
    // It was sent, so nothing may be promised.
    cr_assert(std::ranges::any_of(engines.actions, [&](const action& each) {
        const auto* refused = std::get_if<refuse>(&each);
        return refused != nullptr && refused->id.value() == waiting.value() &&
               refused->cause == refusal::quarantined_prompt &&
               !refused->not_run;
    }));
}

// An operator may have repaired the engines; callers are told when to return.
Test(crashing_prompt, is_tried_by_one_request_after_the_quarantine)
{
    crashing_engines engines;
    for (int i = 0; i < 5; ++i) {
        engines.receive({common_part, crashing_part}, true);
        engines.advance(absl::Seconds(1));
    }
    engines.receive({common_part, crashing_part}, true);
    const auto retry_after = engines.last<refuse>()->retry_after;
    cr_assert_geq(absl::ToInt64Minutes(retry_after), 4);
    engines.advance(retry_after);
    engines.receive_request(
        "stream", {common_part, crashing_part, engines.next_own_part()});
    const send_call probe = *engines.last<send_call>();
    cr_assert_eq(engines.receive({common_part, crashing_part}, true), 0);
    engines.step(call_answer_started{probe.id, probe.call, 200, {}});
    engines.step(call_completed{probe.id, probe.call, 8, {}});
    cr_assert_not(engines.last<quarantine_change>()->is_quarantined);
    cr_assert_eq(engines.receive({common_part, crashing_part}, false), 1);
}

// Connections that are reset look like a crash, but a server that goes on
// answering has not ended.
Test(crashing_prompt, resets_by_a_server_that_lives_on_are_no_crashes)
{
    crashing_engines engines;
    for (int i = 0; i < 20; ++i) {
        const auto reset = engines.receive_request(
            "stream", {crashing_part, engines.next_own_part()});
        const send_call first = *engines.last<send_call>();
        cr_assert_eq(first.id.value(), reset.value());
        std::vector<send_call> others;
        for (int other = 0; other < 4 * engine_count; ++other) {
            engines.receive_request("stream", {engines.next_own_part()});
            others.push_back(*engines.last<send_call>());
        }
        engines.step(call_broken{reset, first.call,
                                 broken_cause::connection_lost, false});
        engines.advance(absl::Milliseconds(300));
        for (const send_call& other : others) {
            engines.step(call_answer_started{other.id, other.call, 200, {}});
            engines.step(call_completed{other.id, other.call, 8, {}});
        }
        engines.advance(absl::Milliseconds(700));
    }
    cr_assert_eq(engines.count<quarantine_change>(), 0);
}

// Many servers that end together are one event, whatever they were doing.
Test(crashing_prompt, servers_that_end_at_once_accuse_no_prompt)
{
    crashing_engines engines;
    std::vector<send_call> calls;
    for (int i = 0; i < 4 * engine_count; ++i) {
        engines.receive_request("stream",
                                {common_part, engines.next_own_part()});
        calls.push_back(*engines.last<send_call>());
    }
    for (const send_call& each : calls)
        engines.step(call_broken{each.id, each.call,
                                 broken_cause::connection_lost, false});
    cr_assert_eq(engines.count<quarantine_change>(), 0);
    cr_assert_eq(engines.receive({common_part}, false), 1);
}

// Servers that sent garbage were taken for crashed, and the prompts with them.
Test(crashing_prompt, servers_that_send_garbage_have_not_crashed)
{
    crashing_engines engines;
    for (int i = 0; i < 20; ++i) {
        const auto id = engines.receive_request(
            "stream", {common_part, engines.next_own_part()});
        const send_call call = *engines.last<send_call>();
        engines.advance(absl::Seconds(1));
        engines.step(
            call_broken{id, call.call, broken_cause::malformed, false});
        engines.advance(absl::Seconds(60));
    }
    cr_assert_eq(engines.count<quarantine_change>(), 0);
}

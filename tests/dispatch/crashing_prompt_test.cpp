#include "dispatcher_simulation.hpp"

#include <criterion/criterion.h>

#include <string>

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
        std::vector<server_entry> engines;
        for (int i = 0; i < engine_count; ++i)
            engines.push_back(
                make_server_entry("e" + std::to_string(i), "engine"));
        set_servers(engines);
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
            } else {
                step(call_answer_started{id, call.call, 200, {}});
                advance(absl::Seconds(1));
                step(call_completed{id, call.call, 8, {}});
            }
        }
        return calls;
    }

private:
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

#include "dispatch_world.hpp"

#include "oriolefall/dispatch/fleet_load.hpp"
#include "oriolefall/dispatch/prompt_cache.hpp"
#include "oriolefall/dispatch/repeat_budget.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <deque>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::some_server;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

} // namespace

Test(repeat_budget, goes_by_new_settings_and_counts_what_was_taken)
{
    const absl::Time start = absl::UnixEpoch();
    const absl::Duration window = absl::Seconds(10);
    repeat_budget subject({0, window, 2, 1});
    cr_assert(subject.take(start, 1));
    subject.set_settings({0, window, 1, 1});
    cr_assert_not(subject.take(start, 1));
    subject.set_settings({0, window, 3, 1});
    cr_assert(subject.take(start, 1));
    cr_assert(subject.take(start, 1));
    cr_assert_not(subject.take(start, 1));
}

Test(repeat_budget, holds_in_each_window_over_all_instances)
{
    const bool holds = rc::check([] {
        const repeat_budget_settings settings{
            .ratio = 0.2, .window = absl::Seconds(10), .extra = 12};
        constexpr std::uint32_t instances = 3;
        std::vector<repeat_budget> shares(instances, repeat_budget(settings));
        std::deque<absl::Time> requests;
        std::deque<absl::Time> repeats;
        absl::Time now = start;
        const int steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            now += absl::Milliseconds(*rc::gen::inRange(0, 200));
            repeat_budget& share = shares[*rc::gen::inRange(0U, instances)];
            if (*rc::gen::inRange(0, 2) == 0) {
                share.note_request(now);
                requests.push_back(now);
            } else if (share.take(now, instances)) {
                repeats.push_back(now);
            }
            const auto old = [&](absl::Time at) {
                return at <= now - settings.window;
            };
            std::erase_if(requests, old);
            std::erase_if(repeats, old);
            RC_ASSERT(static_cast<double>(repeats.size()) <=
                      settings.ratio * static_cast<double>(requests.size()) +
                          settings.extra);
        }
    });
    cr_assert(holds);
}

Test(prompt_cache, a_part_counts_only_behind_all_parts_before_it)
{
    prompt_cache cache(1000);
    const std::vector<prompt_part> prompt{{1, 100}, {2, 50}, {3, 10}};
    cache.note_read(prompt);
    cr_assert_eq(cache.kept_tokens(prompt), 160);
    const std::vector<prompt_part> other{{9, 100}, {2, 50}};
    cr_assert_eq(cache.kept_tokens(other), 0);
}

Test(prompt_cache, the_least_recently_read_part_goes_first)
{
    prompt_cache cache(250);
    const std::vector<prompt_part> one{{1, 100}};
    const std::vector<prompt_part> two{{2, 100}};
    const std::vector<prompt_part> three{{3, 100}};
    cache.note_read(one);
    cache.note_read(two);
    cache.note_read(one);
    cache.note_read(three);
    cr_assert_eq(cache.kept_tokens(one), 100);
    cr_assert_eq(cache.kept_tokens(two), 0);
}

Test(server_state, failures_in_a_row_leave_it_out_for_a_while)
{
    server_state server(some_server("d1", "desk"), {});
    for (int i = 0; i < 3; ++i)
        server.note_failure(start);
    cr_assert(server.is_ejected(start + absl::Milliseconds(900)));
    cr_assert_not(server.is_ejected(start + absl::Milliseconds(1100)));
    cr_assert(server.is_on_probation());
    server.note_success(start + absl::Seconds(2));
    cr_assert_not(server.is_on_probation());
}

Test(server_state, a_new_start_forgets_what_was_known)
{
    server_state server(some_server("e1", "engine"), {});
    server.cache().set_capacity(1000);
    const std::vector<prompt_part> prompt{{1, 100}};
    server.cache().note_read(prompt);
    server.note_unreachable(start);
    auto entry = some_server("e1", "engine");
    entry.started_at_ms = 5;
    server.replace(entry);
    cr_assert_eq(server.cache().kept_tokens(prompt), 0);
    cr_assert_not(server.is_ejected(start));
}

Test(fleet_load, sums_what_is_heard_and_forgets_silent_instances)
{
    fleet_load load;
    const core::backend_server_id server("e1");
    load.hear(start, core::instance_id("a"), {{{server, 2, 100}}});
    load.hear(start, core::instance_id("b"), {{{server, 4, 300}}});
    cr_assert_eq(load.at_server(server).calls, 6);
    cr_assert_eq(load.at_server(server).backlog_tokens, 400);
    load.hear(start, core::instance_id("a"), {});
    cr_assert_eq(load.at_server(server).calls, 4);
    load.refresh(start + absl::Seconds(2));
    cr_assert_eq(load.at_server(server).calls, 0);
}

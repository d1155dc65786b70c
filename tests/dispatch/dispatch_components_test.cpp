#include "dispatcher_simulation.hpp"

#include "oriolefall/dispatch/peer_load.hpp"
#include "oriolefall/dispatch/prompt_cache.hpp"
#include "oriolefall/dispatch/retry_budget.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <deque>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::make_server_entry;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

} // namespace

Test(retry_budget, new_settings_apply_and_earlier_retries_still_count)
{
    const absl::Time start = absl::UnixEpoch();
    const absl::Duration window = absl::Seconds(10);
    retry_budget subject({0, window, 2, 1});
    cr_assert(subject.take(start, 1));
    subject.set_settings({0, window, 1, 1});
    cr_assert_not(subject.take(start, 1));
    subject.set_settings({0, window, 3, 1});
    cr_assert(subject.take(start, 1));
    cr_assert(subject.take(start, 1));
    cr_assert_not(subject.take(start, 1));
}

Test(retry_budget, is_not_exceeded_in_any_window_by_all_instances_together)
{
    const bool holds = rc::check([] {
        const retry_budget_settings settings{
            .ratio = 0.2, .window = absl::Seconds(10), .extra = 12};
        constexpr std::uint32_t instances = 3;
        std::vector<retry_budget> shares(instances, retry_budget(settings));
        std::deque<absl::Time> requests;
        std::deque<absl::Time> retries;
        absl::Time now = start;
        const int steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            now += absl::Milliseconds(*rc::gen::inRange(0, 200));
            retry_budget& share = shares[*rc::gen::inRange(0U, instances)];
            if (*rc::gen::inRange(0, 2) == 0) {
                share.record_request(now);
                requests.push_back(now);
            } else if (share.take(now, instances)) {
                retries.push_back(now);
            }
            const auto has_expired = [&](absl::Time at) {
                return at <= now - settings.window;
            };
            std::erase_if(requests, has_expired);
            std::erase_if(retries, has_expired);
            RC_ASSERT(static_cast<double>(retries.size()) <=
                      settings.ratio * static_cast<double>(requests.size()) +
                          settings.extra);
        }
    });
    cr_assert(holds);
}

Test(prompt_cache, a_part_counts_only_if_all_parts_before_it_are_cached)
{
    prompt_cache cache(1000);
    const std::vector<prompt_part> prompt{{1, 100}, {2, 50}, {3, 10}};
    cache.record_prefill(prompt);
    cr_assert_eq(cache.cached_tokens(prompt), 160);
    const std::vector<prompt_part> other{{9, 100}, {2, 50}};
    cr_assert_eq(cache.cached_tokens(other), 0);
}

Test(prompt_cache, evicts_the_least_recently_used_part_first)
{
    prompt_cache cache(250);
    const std::vector<prompt_part> one{{1, 100}};
    const std::vector<prompt_part> two{{2, 100}};
    const std::vector<prompt_part> three{{3, 100}};
    cache.record_prefill(one);
    cache.record_prefill(two);
    cache.record_prefill(one);
    cache.record_prefill(three);
    cr_assert_eq(cache.cached_tokens(one), 100);
    cr_assert_eq(cache.cached_tokens(two), 0);
}

Test(server_state, consecutive_failures_eject_it_for_the_base_ejection_time)
{
    server_state server(make_server_entry("d1", "desk"), {});
    for (int i = 0; i < 3; ++i)
        server.record_failure(start);
    cr_assert(server.is_ejected(start + absl::Milliseconds(900)));
    cr_assert_not(server.is_ejected(start + absl::Milliseconds(1100)));
    cr_assert(server.is_on_probation());
    server.record_success(start + absl::Seconds(2));
    cr_assert_not(server.is_on_probation());
}

Test(server_state, a_restart_resets_the_cache_and_the_ejection)
{
    server_state server(make_server_entry("e1", "engine"), {});
    server.cache().set_capacity(1000);
    const std::vector<prompt_part> prompt{{1, 100}};
    server.cache().record_prefill(prompt);
    server.record_unreachable(start);
    auto entry = make_server_entry("e1", "engine");
    entry.started_at_ms = 5;
    server.update_entry(entry);
    cr_assert_eq(server.cache().cached_tokens(prompt), 0);
    cr_assert_not(server.is_ejected(start));
}

Test(peer_load, sums_reports_and_drops_expired_ones)
{
    peer_load load;
    const core::backend_server_id server("e1");
    load.update(start, core::instance_id("a"), {{{server, 2, 100}}, {}});
    load.update(start, core::instance_id("b"), {{{server, 4, 300}}, {}});
    cr_assert_eq(load.at_server(server).calls, 6);
    cr_assert_eq(load.at_server(server).backlog_tokens, 400);
    load.update(start, core::instance_id("a"), {});
    cr_assert_eq(load.at_server(server).calls, 4);
    load.expire_reports(start + absl::Seconds(2));
    cr_assert_eq(load.at_server(server).calls, 0);
}

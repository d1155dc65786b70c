#include "oriolefall/objects/claim_store.hpp"
#include "oriolefall/objects/claim_worker.hpp"
#include "tests/objects/platform_fixture.hpp"

#include <atomic>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using decision::claim_outcome;
using tests::platform_fixture;

namespace {

const core::workspace_id workspace("w");
const core::idempotency_key key("booking 17");
const core::verdict did_run = core::ran{};
const core::verdict did_not_run = core::not_run{core::reason::backend_refused};
const core::verdict may_have_run =
    core::may_have_run{core::reason::connection_lost};

/// Client and claim store of one instance.
struct claimant
{
    claimant(platform_fixture& platform, const std::string& holder)
        : client(platform.settings()), claims(client.as_object_store(), holder)
    {
    }

    claim_outcome claim()
    {
        return claims.claim(workspace, key);
    }

    bool record(const core::verdict& outcome)
    {
        return claims.record(workspace, key, outcome);
    }

    objects::client client;
    objects::claim_store claims;
};

} // namespace

Test(claims, key_is_granted_once)
{
    platform_fixture platform;
    claimant first(platform, "i-1");
    claimant second(platform, "i-2");
    cr_assert(first.claim() == claim_outcome::granted);
    cr_assert(first.claim() == claim_outcome::in_progress);
    cr_assert(second.claim() == claim_outcome::in_progress);
    cr_assert(first.record(did_run));
    cr_assert(first.claim() == claim_outcome::ran);
    cr_assert(second.claim() == claim_outcome::ran);
}

Test(claims, key_of_request_that_may_have_run_is_not_granted_again)
{
    platform_fixture platform;
    claimant first(platform, "i-1");
    claimant second(platform, "i-2");
    cr_assert(first.claim() == claim_outcome::granted);
    cr_assert(first.record(may_have_run));
    cr_assert(second.claim() == claim_outcome::ran);
}

Test(claims, key_of_request_that_was_not_run_is_granted_once_more)
{
    platform_fixture platform;
    claimant first(platform, "i-1");
    claimant second(platform, "i-2");
    claimant third(platform, "i-3");
    cr_assert(first.claim() == claim_outcome::granted);
    cr_assert(first.record(did_not_run));
    cr_assert(second.claim() == claim_outcome::granted);
    cr_assert(third.claim() == claim_outcome::in_progress);
    // A second record by the first holder must not release the claim of the
    // second holder.
    cr_assert_not(first.record(did_not_run));
    cr_assert(third.claim() == claim_outcome::in_progress);
}

Test(claims, key_is_granted_once_after_lost_answers)
{
    platform_fixture platform;
    claimant first(platform, "i-1");
    claimant second(platform, "i-2");
    platform.set_faults(R"({"lose_answers":1})");
    cr_assert(first.claim() == claim_outcome::granted);
    cr_assert(second.claim() == claim_outcome::in_progress);
    platform.set_faults(R"({"lose_answers":1})");
    cr_assert(first.record(did_run));
    cr_assert(second.claim() == claim_outcome::ran);
}

Test(claims, unresolved_claim_is_granted_to_its_holder_on_retry)
{
    platform_fixture platform;
    claimant first(platform, "i-1");
    claimant second(platform, "i-2");
    platform.set_faults(R"({"lose_answers":1,"stale_reads":true})");
    cr_assert(first.claim() == claim_outcome::unavailable);
    platform.set_faults(R"({"stale_reads":false})");
    cr_assert(second.claim() == claim_outcome::in_progress);
    cr_assert(first.claim() == claim_outcome::granted);
    cr_assert(first.claim() == claim_outcome::in_progress);
}

Test(claims, claim_is_unavailable_during_an_outage)
{
    platform_fixture platform;
    claimant first(platform, "i-1");
    platform.set_faults(R"({"outage":true})");
    cr_assert(first.claim() == claim_outcome::unavailable);
    platform.set_faults(R"({"outage":false})");
    cr_assert(first.claim() == claim_outcome::granted);
}

Test(claims, holder_knows_an_outcome_that_the_platform_did_not_store)
{
    platform_fixture platform;
    claimant first(platform, "i-1");
    claimant second(platform, "i-2");
    cr_assert(first.claim() == claim_outcome::granted);
    platform.set_faults(R"({"outage":true})");
    cr_assert_not(first.record(did_not_run));
    platform.set_faults(R"({"outage":false})");
    cr_assert(second.claim() == claim_outcome::in_progress);
    cr_assert(first.claim() == claim_outcome::granted);
}

Test(claims, claim_and_record_cost_two_platform_calls)
{
    platform_fixture platform;
    std::size_t calls = 0;
    auto settings = platform.settings();
    settings.on_call = [&](const auto&) { ++calls; };
    objects::client client(settings);
    objects::claim_store claims(client.as_object_store(), "i-1");
    cr_assert(claims.claim(workspace, key) == claim_outcome::granted);
    cr_assert(claims.record(workspace, key, did_run));
    cr_assert_eq(calls, 2);
    cr_assert(claims.claim(workspace, key) == claim_outcome::ran);
    cr_assert_eq(calls, 4);
}

Test(claims, one_of_many_instances_is_granted_despite_lost_answers)
{
    constexpr int instances = 8;
    platform_fixture platform;
    platform.set_faults(R"({"lose_answers":5})");
    std::atomic<int> granted = 0;
    std::vector<std::unique_ptr<claimant>> claimants;
    for (int i = 0; i < instances; ++i)
        claimants.push_back(
            std::make_unique<claimant>(platform, core::concat("i-", i)));
    std::vector<std::thread> threads;
    for (auto& each : claimants)
        threads.emplace_back([&granted, &each] {
            if (each->claim() == claim_outcome::granted)
                ++granted;
        });
    for (std::thread& thread : threads)
        thread.join();
    cr_assert_eq(granted.load(), 1);
}

Test(claims, worker_answers_each_claim)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    core::bounded_ring<decision::key_claimed> answers(8);
    core::bounded_ring<bool> stored(8);
    objects::claim_worker worker(
        client.as_object_store(), [&] { client.stop(); }, "i-1", 8,
        [&](const auto& claimed) { answers.push(claimed); },
        [&](bool is_stored) { stored.push(is_stored); });
    const decision::claim_key first{core::request_id(1), workspace, key};
    const decision::claim_key duplicate{core::request_id(2), workspace, key};
    const decision::record_outcome outcome{workspace, key, did_run};
    cr_assert(worker.submit(first));
    cr_assert(worker.submit(outcome));
    cr_assert(worker.submit(duplicate));
    const decision::key_claimed granted{first.request, claim_outcome::granted};
    const decision::key_claimed ran{duplicate.request, claim_outcome::ran};
    cr_assert(answers.pop() == granted);
    cr_assert(stored.pop() == true);
    cr_assert(answers.pop() == ran);
}

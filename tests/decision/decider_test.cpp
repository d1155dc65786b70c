#include "oriolefall/decision/decider.hpp"

#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;

namespace {

core::backend_server make_engine(const std::string& id,
                                 const std::string& region)
{
    core::backend_server created;
    created.id = core::backend_server_id(id);
    created.location.region = core::region_name(region);
    created.serves = {"small"};
    created.slots = 2;
    created.resumes_streams = true;
    return created;
}

std::shared_ptr<decision::routing_table>
make_table(std::vector<core::backend_server> servers)
{
    auto table = std::make_shared<decision::routing_table>();
    table->version = 1;
    core::service_class quick;
    quick.name = core::class_name("quick");
    quick.tier = core::tier::interactive;
    quick.target.first_token = absl::Seconds(1);
    core::service_class patient;
    patient.name = core::class_name("patient");
    patient.tier = core::tier::batch;
    core::service_class once;
    once.name = core::class_name("once");
    once.tier = core::tier::interactive;
    once.kind = core::call_kind::service;
    once.idempotent = false;
    table->classes = {quick, patient, once};
    core::backend_server service = make_engine("service", "near");
    service.kind = core::call_kind::service;
    service.serves = {"once"};
    servers.push_back(service);
    table->servers = std::move(servers);
    return table;
}

/// Steps a decider and keeps the actions of the last event.
struct decider_driver
{
    explicit decider_driver(std::vector<core::backend_server> servers)
        : decider(decision::decider_settings{
              .location = {core::region_name("near"), {}}, .seed = 1}),
          table(make_table(std::move(servers)))
    {
        step(decision::table_applied{table});
    }

    void step(const decision::event& event)
    {
        out.clear();
        decider.step(now, event, out);
    }

    void arrive(std::uint64_t id, const std::string& class_name)
    {
        core::request request;
        request.id = core::request_id(id);
        request.workspace = core::workspace_id("w");
        request.service_class = core::class_name(class_name);
        if (class_name == "once")
            request.key = core::idempotency_key("k" + std::to_string(id));
        else
            request.model = core::model_name("small");
        request.prompt_tokens = 100;
        step(decision::request_arrived{request});
    }

    void end_call(core::call_id call, const core::verdict& verdict,
                  std::uint64_t tokens = 0)
    {
        step(decision::call_ended{
            .call = call, .verdict = verdict, .tokens = tokens});
    }

    template <class Action>
    [[nodiscard]] std::vector<Action> actions_of() const
    {
        std::vector<Action> matching;
        for (const decision::action& each : out)
            if (const auto* found = std::get_if<Action>(&each))
                matching.push_back(*found);
        return matching;
    }

    [[nodiscard]] decision::start_call only_call() const
    {
        const auto calls = actions_of<decision::start_call>();
        cr_assert_eq(calls.size(), 1);
        return calls.front();
    }

    [[nodiscard]] decision::finish_request only_finish() const
    {
        const auto finishes = actions_of<decision::finish_request>();
        cr_assert_eq(finishes.size(), 1);
        return finishes.front();
    }

    decision::decider decider;
    std::shared_ptr<decision::routing_table> table;
    absl::Time now = absl::UnixEpoch();
    std::vector<decision::action> out;
};

} // namespace

Test(decider, prefers_a_server_of_the_local_region)
{
    decider_driver driver(
        {make_engine("far", "away"), make_engine("near", "near")});
    driver.arrive(1, "quick");
    cr_assert_eq(driver.only_call().server.value(), "near");
    cr_assert_lt(absl::ToInt64Milliseconds(driver.only_call().gap_timeout),
                 1000);
}

Test(decider, sends_no_request_to_a_leaving_server)
{
    decider_driver driver({make_engine("a", "near")});
    driver.table = std::make_shared<decision::routing_table>(*driver.table);
    driver.table->version = 2;
    driver.table->servers.front().leaving = true;
    driver.step(decision::table_applied{driver.table});
    driver.arrive(1, "quick");
    cr_assert(driver.only_finish().verdict ==
              core::verdict(core::not_run{core::reason::no_backend_server}));
}

Test(decider, resumes_an_interrupted_stream_after_the_delivered_tokens)
{
    decider_driver driver({make_engine("a", "near"), make_engine("b", "near")});
    driver.arrive(1, "quick");
    const decision::start_call first = driver.only_call();
    driver.step(decision::call_progressed{first.call, 7});
    driver.end_call(first.call,
                    core::may_have_run{core::reason::connection_lost}, 9);
    cr_assert_eq(driver.only_call().resume_from, 9);
    cr_assert(driver.only_call().server != first.server);
    driver.end_call(driver.only_call().call, core::ran{20}, 20);
    cr_assert(driver.only_finish().verdict == core::verdict(core::ran{20}));
}

Test(decider, claims_the_key_before_the_call_and_records_its_outcome)
{
    decider_driver driver({make_engine("a", "near")});
    driver.arrive(1, "once");
    cr_assert(driver.actions_of<decision::start_call>().empty());
    cr_assert_eq(driver.actions_of<decision::claim_key>().size(), 1);
    driver.step(decision::key_claimed{core::request_id(1),
                                      decision::claim_outcome::granted});
    const decision::start_call call = driver.only_call();
    driver.end_call(call.call,
                    core::may_have_run{core::reason::connection_lost});
    cr_assert(driver.actions_of<decision::start_call>().empty());
    cr_assert_eq(driver.actions_of<decision::record_outcome>().size(), 1);
    cr_assert(std::holds_alternative<core::may_have_run>(
        driver.only_finish().verdict));
}

Test(decider, does_not_report_not_run_for_a_used_key)
{
    for (const auto outcome :
         {decision::claim_outcome::in_progress, decision::claim_outcome::ran}) {
        decider_driver driver({make_engine("a", "near")});
        driver.arrive(1, "once");
        driver.step(decision::key_claimed{core::request_id(1), outcome});
        cr_assert(std::holds_alternative<core::may_have_run>(
            driver.only_finish().verdict));
    }
}

Test(decider, retries_an_unavailable_claim_and_ends_as_may_have_run)
{
    decider_driver driver({make_engine("a", "near")});
    driver.arrive(1, "once");
    driver.step(decision::key_claimed{core::request_id(1),
                                      decision::claim_outcome::unavailable});
    cr_assert(driver.actions_of<decision::finish_request>().empty());
    driver.now = driver.decider.next_tick();
    driver.step(decision::tick{});
    cr_assert_eq(driver.actions_of<decision::claim_key>().size(), 1);
    driver.now += absl::Minutes(2);
    driver.step(decision::tick{});
    // A request whose key already ran elsewhere cannot be told apart here.
    const core::verdict expected =
        core::may_have_run{core::reason::platform_unavailable};
    cr_assert(driver.only_finish().verdict == expected);
}

Test(decider, cancels_the_call_of_a_disconnected_caller)
{
    decider_driver driver({make_engine("a", "near")});
    driver.arrive(1, "quick");
    const core::call_id call = driver.only_call().call;
    driver.step(decision::caller_gone{core::request_id(1)});
    cr_assert(driver.actions_of<decision::cancel_call>().front().call == call);
    driver.end_call(call, core::may_have_run{core::reason::caller_gone}, 3);
    cr_assert(driver.only_finish().verdict ==
              core::verdict(core::may_have_run{core::reason::caller_gone}));
    cr_assert_eq(driver.decider.open_requests(), 0);
}

Test(decider, serves_the_highest_tier_when_a_slot_becomes_free)
{
    decider_driver driver({make_engine("a", "near")});
    driver.arrive(1, "patient");
    const core::call_id first = driver.only_call().call;
    driver.arrive(2, "patient");
    driver.arrive(3, "patient");
    driver.arrive(4, "quick");
    driver.end_call(first, core::ran{10}, 10);
    cr_assert_eq(driver.only_call().request.value(), 4);
}

Test(decider, shutdown_refuses_new_requests_and_finishes_open_ones)
{
    decider_driver driver({make_engine("a", "near")});
    driver.arrive(1, "quick");
    const core::call_id call = driver.only_call().call;
    driver.step(decision::shutdown_requested{});
    driver.arrive(2, "quick");
    cr_assert(driver.only_finish().verdict ==
              core::verdict(core::not_run{core::reason::instance_leaving}));
    driver.end_call(call, core::ran{5}, 5);
    cr_assert_eq(driver.only_finish().request.value(), 1);
}

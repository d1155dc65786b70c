#include "oriolefall/decision/decider.hpp"

#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;

namespace {

core::backend_server engine(const std::string& id, const std::string& region)
{
    core::backend_server made;
    made.id = core::backend_server_id(id);
    made.location.region = core::region_name(region);
    made.serves = {"small"};
    made.slots = 2;
    made.resumes_streams = true;
    return made;
}

std::shared_ptr<decision::routing_table>
table_of(std::vector<core::backend_server> servers)
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
    core::backend_server service = engine("service", "near");
    service.kind = core::call_kind::service;
    service.serves = {"once"};
    servers.push_back(service);
    table->servers = std::move(servers);
    return table;
}

/// A decider with what it did last.
struct driven_decider
{
    explicit driven_decider(std::vector<core::backend_server> servers)
        : subject(decision::decider_settings{
              .location = {core::region_name("near"), {}}, .seed = 1}),
          table(table_of(std::move(servers)))
    {
        give(decision::table_applied{table});
    }

    void give(const decision::event& event)
    {
        out.clear();
        subject.step(now, event, out);
    }

    void request(std::uint64_t id, const std::string& class_name)
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
        give(decision::request_arrived{request});
    }

    void end(core::call_id call, const core::verdict& verdict,
             std::uint64_t tokens = 0)
    {
        give(decision::call_ended{
            .call = call, .verdict = verdict, .tokens = tokens});
    }

    template <class Action>
    [[nodiscard]] std::vector<Action> all() const
    {
        std::vector<Action> some;
        for (const decision::action& each : out)
            if (const auto* found = std::get_if<Action>(&each))
                some.push_back(*found);
        return some;
    }

    [[nodiscard]] decision::start_call started() const
    {
        const auto calls = all<decision::start_call>();
        cr_assert_eq(calls.size(), 1);
        return calls.front();
    }

    [[nodiscard]] decision::finish_request finished() const
    {
        const auto ends = all<decision::finish_request>();
        cr_assert_eq(ends.size(), 1);
        return ends.front();
    }

    decision::decider subject;
    std::shared_ptr<decision::routing_table> table;
    absl::Time now = absl::UnixEpoch();
    std::vector<decision::action> out;
};

} // namespace

Test(decider, starts_a_request_at_a_near_server)
{
    driven_decider both({engine("far", "away"), engine("near", "near")});
    both.request(1, "quick");
    cr_assert_eq(both.started().server.value(), "near");
    cr_assert_lt(absl::ToInt64Milliseconds(both.started().gap_timeout), 1000);
}

Test(decider, a_leaving_server_gets_no_new_work)
{
    driven_decider one({engine("a", "near")});
    one.table = std::make_shared<decision::routing_table>(*one.table);
    one.table->version = 2;
    one.table->servers.front().leaving = true;
    one.give(decision::table_applied{one.table});
    one.request(1, "quick");
    cr_assert(one.finished().verdict ==
              core::verdict(core::not_run{core::reason::no_backend_server}));
}

Test(decider, a_broken_stream_goes_on_from_what_was_delivered)
{
    driven_decider two({engine("a", "near"), engine("b", "near")});
    two.request(1, "quick");
    const decision::start_call first = two.started();
    two.give(decision::call_progressed{first.call, 7});
    two.end(first.call, core::may_have_run{core::reason::connection_lost}, 9);
    cr_assert_eq(two.started().resume_from, 9);
    cr_assert(two.started().server != first.server);
    two.end(two.started().call, core::ran{20}, 20);
    cr_assert(two.finished().verdict == core::verdict(core::ran{20}));
}

Test(decider, claims_a_key_before_the_call_and_records_after_it)
{
    driven_decider one({engine("a", "near")});
    one.request(1, "once");
    cr_assert(one.all<decision::start_call>().empty());
    cr_assert_eq(one.all<decision::claim_key>().size(), 1);
    one.give(decision::key_claimed{core::request_id(1),
                                   decision::claim_outcome::granted});
    const decision::start_call call = one.started();
    one.end(call.call, core::may_have_run{core::reason::connection_lost});
    cr_assert(one.all<decision::start_call>().empty());
    cr_assert_eq(one.all<decision::record_outcome>().size(), 1);
    cr_assert(
        std::holds_alternative<core::may_have_run>(one.finished().verdict));
}

Test(decider, a_used_key_is_never_told_not_run)
{
    for (const auto outcome :
         {decision::claim_outcome::in_progress, decision::claim_outcome::ran}) {
        driven_decider one({engine("a", "near")});
        one.request(1, "once");
        one.give(decision::key_claimed{core::request_id(1), outcome});
        cr_assert(
            std::holds_alternative<core::may_have_run>(one.finished().verdict));
    }
}

Test(decider, a_key_that_cannot_be_agreed_waits_and_may_then_have_run)
{
    driven_decider one({engine("a", "near")});
    one.request(1, "once");
    one.give(decision::key_claimed{core::request_id(1),
                                   decision::claim_outcome::unavailable});
    cr_assert(one.all<decision::finish_request>().empty());
    one.now = one.subject.next_tick();
    one.give(decision::tick{});
    cr_assert_eq(one.all<decision::claim_key>().size(), 1);
    one.now += absl::Minutes(2);
    one.give(decision::tick{});
    // A repeat of one that ran elsewhere looks the same from here.
    const core::verdict expected =
        core::may_have_run{core::reason::platform_unavailable};
    cr_assert(one.finished().verdict == expected);
}

Test(decider, cancels_the_call_of_a_caller_that_left)
{
    driven_decider one({engine("a", "near")});
    one.request(1, "quick");
    const core::call_id call = one.started().call;
    one.give(decision::caller_gone{core::request_id(1)});
    cr_assert(one.all<decision::cancel_call>().front().call == call);
    one.end(call, core::may_have_run{core::reason::caller_gone}, 3);
    cr_assert(one.finished().verdict ==
              core::verdict(core::may_have_run{core::reason::caller_gone}));
    cr_assert_eq(one.subject.open_requests(), 0);
}

Test(decider, a_higher_tier_goes_first_when_a_slot_is_free)
{
    driven_decider one({engine("a", "near")});
    one.request(1, "patient");
    const core::call_id first = one.started().call;
    one.request(2, "patient");
    one.request(3, "patient");
    one.request(4, "quick");
    one.end(first, core::ran{10}, 10);
    cr_assert_eq(one.started().request.value(), 4);
}

Test(decider, shutdown_refuses_new_requests_and_ends_the_others)
{
    driven_decider one({engine("a", "near")});
    one.request(1, "quick");
    const core::call_id call = one.started().call;
    one.give(decision::shutdown_requested{});
    one.request(2, "quick");
    cr_assert(one.finished().verdict ==
              core::verdict(core::not_run{core::reason::instance_leaving}));
    one.end(call, core::ran{5}, 5);
    cr_assert_eq(one.finished().request.value(), 1);
}

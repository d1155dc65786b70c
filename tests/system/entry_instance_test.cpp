#include "fleet_headers.hpp"

#include "bench/engine_counters.hpp"
#include "bench/load_call.hpp"
#include "bench/local_fleet.hpp"
#include "oriolefall/core/concat.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <ranges>

#include <criterion/criterion.h>

// A failed assertion does not unwind the stack, so each scenario ends its
// processes before anything is asserted.

using namespace oriolefall;
using namespace oriolefall::tests;
using bench::load_ending;
using bench::load_outcome;
using bench::load_request;

namespace {

std::vector<load_request> questions(std::size_t count, std::uint32_t tokens)
{
    std::vector<load_request> requests;
    for (std::size_t i = 0; i < count; ++i)
        requests.push_back(question(core::concat("question ", i), tokens));
    return requests;
}

/// How many outcomes are whole and the caller's own.
std::size_t count_own(const std::vector<load_request>& requests,
                      const std::vector<load_outcome>& outcomes)
{
    const auto places = std::views::iota(std::size_t{0}, requests.size());
    return static_cast<std::size_t>(
        std::ranges::count_if(places, [&](std::size_t i) {
            return outcomes[i].ending == load_ending::whole &&
                   outcomes[i].text == whole_text(requests[i]);
        }));
}

/// How outcomes ended, for the message of a failed assertion.
std::string describe(const std::vector<load_outcome>& outcomes)
{
    std::map<std::string, std::size_t> counts;
    for (const load_outcome& each : outcomes)
        ++counts[core::concat(bench::to_string(each.ending), " ", each.status,
                              " ", each.reason)];
    std::string text;
    for (const auto& [ending, count] : counts)
        text += core::concat(count, " ", ending, "; ");
    return text;
}

/// True unless the caller was told that a part is the whole.
bool is_honest(const load_request& request, const load_outcome& outcome)
{
    const std::string whole = whole_text(request);
    if (outcome.ending == load_ending::whole)
        return outcome.text == whole;
    return whole.starts_with(outcome.text);
}

nlohmann::json stats_of(const core::endpoint& stand_in)
{
    return bench::read_stats(stand_in).value_or(nlohmann::json::object());
}

} // namespace

Test(entry_instance, never_crosses_200_concurrent_streams)
{
    constexpr std::size_t callers = 200;
    const auto requests = questions(callers, 40);
    std::vector<load_outcome> outcomes;
    {
        bench::trace_header header = plain_header();
        header.servers = {quick_engine("e1", 100), quick_engine("e2", 100)};
        bench::local_fleet fleet(fleet_of(header, 1));
        outcomes = send_all(fleet.entries()[0], requests);
    }
    cr_assert_eq(count_own(requests, outcomes), callers, "%s",
                 describe(outcomes).c_str());
}

Test(entry_instance, gives_whole_answers_in_one_body)
{
    auto requests = questions(8, 20);
    for (load_request& request : requests)
        request.stream = false;
    std::vector<load_outcome> outcomes;
    {
        bench::trace_header header = plain_header();
        header.servers = {quick_engine("e1", 4)};
        bench::local_fleet fleet(fleet_of(header, 1));
        outcomes = send_all(fleet.entries()[0], requests);
    }
    cr_assert_eq(count_own(requests, outcomes), requests.size());
}

Test(entry_instance, cancels_the_stream_of_a_caller_that_has_gone)
{
    auto leaving = question("a long story", 1'000'000);
    leaving.gone_after_tokens = 1;
    const auto staying = question("a short answer", 3);
    load_outcome left;
    load_outcome served;
    nlohmann::json stats;
    {
        bench::trace_header header = plain_header();
        header.servers = {quick_engine("e1", 1)};
        bench::local_fleet fleet(fleet_of(header, 1));
        left = send_all(fleet.entries()[0], {leaving})[0];
        // The only slot of the engine is free once the stream is cancelled.
        served = send_all(fleet.entries()[0], {staying})[0];
        stats = stats_of(fleet.server_endpoint(0));
    }
    cr_assert(left.ending == load_ending::left);
    cr_assert(served.ending == load_ending::whole);
    cr_assert_eq(stats["cancelled"], 1);
    cr_assert_eq(stats["completed"], 1);
}

Test(entry_instance, never_passes_a_broken_answer_off_as_whole)
{
    const auto asked = question("what breaks?", 30);
    load_outcome outcome;
    {
        bench::trace_header header = plain_header();
        header.classes[0].max_attempts = 1;
        header.servers = {quick_engine("e1", 4)};
        header.servers[0].server.resumes_streams = false;
        bench::local_fleet fleet(fleet_of(header, 1));
        set_faults(fleet.server_endpoint(0), R"({"crash_after_tokens":7})");
        outcome = send_all(fleet.entries()[0], {asked})[0];
    }
    cr_assert(outcome.ending != load_ending::whole);
    cr_assert(is_honest(asked, outcome));
}

Test(entry_instance, is_honest_when_an_engine_is_killed)
{
    constexpr std::size_t callers = 12;
    const auto requests = questions(callers, 300);
    std::vector<load_outcome> outcomes;
    load_outcome later;
    {
        bench::trace_header header = plain_header();
        header.servers = {quick_engine("e1", 16), quick_engine("e2", 16)};
        bench::local_fleet fleet(fleet_of(header, 1));
        std::atomic<bool> killed = false;
        outcomes = send_all(fleet.entries()[0], requests, [&](std::size_t) {
            if (!killed.exchange(true))
                fleet.server(0).send_signal(SIGKILL);
        });
        later = send_all(fleet.entries()[0], {requests[0]})[0];
    }
    for (std::size_t i = 0; i < callers; ++i)
        cr_assert(is_honest(requests[i], outcomes[i]));
    cr_assert(later.ending == load_ending::whole, "%s",
              describe({later}).c_str());
}

Test(entry_instance, runs_a_booking_once_though_its_answer_is_lost)
{
    load_outcome lost;
    load_outcome refused;
    load_outcome served;
    nlohmann::json stats;
    {
        bench::trace_header header = plain_header();
        header.servers = {plain_service("s1")};
        bench::local_fleet fleet(fleet_of(header, 1));
        const core::endpoint& entry = fleet.entries()[0];
        const core::endpoint& service = fleet.server_endpoint(0);
        set_faults(service, R"({"drop_answer":true})");
        lost = send_all(entry, {booking("lost")})[0];
        served = send_all(entry, {booking("served")})[0];
        set_faults(service, R"({"refuse":true})");
        load_request short_booking = booking("refused");
        short_booking.service_class = core::class_name("short-booking");
        refused = send_all(entry, {short_booking})[0];
        stats = stats_of(service);
    }
    cr_assert(lost.ending == load_ending::may_have_run);
    cr_assert(served.ending == load_ending::whole);
    cr_assert(refused.ending == load_ending::not_run);
    cr_assert_eq(stats["by_key"]["lost"], 1);
    cr_assert_eq(stats["by_key"]["served"], 1);
    cr_assert_not(stats["by_key"].contains("refused"));
}

Test(entry_instance, a_graceful_stop_cuts_no_stream)
{
    constexpr std::size_t callers = 20;
    const auto requests = questions(callers, 1000);
    std::vector<load_outcome> outcomes;
    int status = -1;
    {
        bench::trace_header header = plain_header();
        header.servers = {quick_engine("e1", callers)};
        bench::local_fleet fleet(fleet_of(header, 1));
        std::atomic<std::size_t> answered = 0;
        outcomes = send_all(fleet.entries()[0], requests, [&](std::size_t) {
            if (++answered == callers)
                fleet.instance(0).send_signal(SIGTERM);
        });
        status = fleet.instance(0).await_exit();
    }
    cr_assert_eq(count_own(requests, outcomes), callers, "%s",
                 describe(outcomes).c_str());
    cr_assert_eq(status, 0);
}

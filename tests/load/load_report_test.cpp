#include "bench/load_report.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::bench;

namespace {

core::service_class promise()
{
    core::service_class promised;
    promised.name = core::class_name("rules");
    promised.tier = core::tier::interactive;
    promised.target.first_token = absl::Milliseconds(500);
    promised.target.between_tokens = absl::Milliseconds(50);
    promised.deadline = absl::Seconds(5);
    return promised;
}

load_outcome whole_answer(int first_ms, int whole_ms, std::uint32_t tokens)
{
    load_outcome outcome;
    outcome.ending = load_ending::whole;
    outcome.tokens = tokens;
    outcome.first_token = absl::Milliseconds(first_ms);
    outcome.whole_answer = absl::Milliseconds(whole_ms);
    return outcome;
}

constexpr absl::Duration stays = absl::InfiniteDuration();

} // namespace

Test(load_report, attainment_needs_every_target)
{
    const auto met = [](const load_outcome& outcome) {
        return attainment(promise(), outcome, stays);
    };
    cr_assert(met(whole_answer(400, 800, 9)) == true);
    cr_assert(met(whole_answer(501, 800, 9)) == false);
    cr_assert(met(whole_answer(400, 801, 9)) == false);
    cr_assert(met(whole_answer(400, 5001, 200)) == false);
    cr_assert(met(load_outcome{}) == false);
}

Test(load_report, a_caller_that_leaves_early_does_not_count)
{
    load_outcome left;
    left.ending = load_ending::left;
    cr_assert_not(
        attainment(promise(), left, absl::Milliseconds(400)).has_value());
    cr_assert(attainment(promise(), left, absl::Milliseconds(600)) == false);
    left.first_token = absl::Milliseconds(300);
    cr_assert_not(attainment(promise(), left, absl::Seconds(3)).has_value());
}

Test(load_report, counts_waste_against_what_engines_computed)
{
    trace replayed;
    replayed.header.classes = {promise()};
    replayed.arrivals.resize(2);
    for (trace_arrival& arrival : replayed.arrivals)
        arrival.service_class = promise().name;
    load_outcome cut;
    cut.tokens = 4;
    const std::vector<load_sample> samples{{0, whole_answer(400, 500, 10)},
                                           {1, cut}};
    const auto rows = make_load_rows(replayed, samples, {25, {25, 0, 0}});
    cr_assert_eq(rows.size(), 3);
    const load_row& total = rows.back();
    cr_assert_eq(total.offered, 2);
    cr_assert_eq(total.whole, 1);
    cr_assert_eq(total.broken, 1);
    cr_assert_eq(total.whole_tokens, 10);
    cr_assert_eq(total.lost_tokens, 4);
    cr_assert_eq(total.computed_tokens.value_or(0), 25);
}

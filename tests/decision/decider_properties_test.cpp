// Invariants of the decider for random orders of events with injected faults.
#include "decision_simulation.hpp"

#include <cstdint>
#include <rapidcheck.h>
#include <vector>

#include <criterion/criterion.h>

using oriolefall::tests::decision_simulation;

namespace {

std::vector<std::uint32_t> random_choices(std::size_t count)
{
    return *rc::gen::container<std::vector<std::uint32_t>>(
        count, rc::gen::inRange<std::uint32_t>(0, 1U << 24U));
}

} // namespace

Test(decider_properties, invariants_hold_for_random_event_orders)
{
    const bool holds = rc::check("invariants of the decider", [] {
        decision_simulation simulation;
        for (const std::uint32_t choice : random_choices(400))
            simulation.apply_choice(choice);
        simulation.drain();
    });
    cr_assert(holds);
}

Test(decider_properties, equal_events_give_equal_actions)
{
    const bool holds = rc::check("determinism", [] {
        decision_simulation simulation;
        for (const std::uint32_t choice : random_choices(300))
            simulation.apply_choice(choice);
        simulation.expect_determinism();
    });
    cr_assert(holds);
}

Test(decider_properties, no_class_starves_when_the_highest_tier_floods)
{
    const bool holds = rc::check("no class starves", [] {
        decision_simulation simulation;
        const auto arrival_gaps_ms = *rc::gen::container<std::vector<int>>(
            4000, rc::gen::inRange(5, 25));
        int number = 0;
        for (const int gap_ms : arrival_gaps_ms) {
            simulation.arrive("quick", static_cast<std::uint32_t>(number % 3));
            // Other classes arrive once the flood occupies every server.
            const bool is_flooded = number > 200;
            if (is_flooded && number % 10 == 0)
                simulation.arrive("helpful", 0);
            if (is_flooded && number % 10 == 5)
                simulation.arrive("patient", 1);
            // Only every second arrival ends a call, so calls accumulate.
            if (number % 2 == 0)
                simulation.end_oldest();
            simulation.advance(absl::Milliseconds(gap_ms));
            ++number;
        }
        RC_ASSERT(simulation.answered_count("helpful") > 0);
        RC_ASSERT(simulation.answered_count("patient") > 0);
        RC_ASSERT(simulation.answered_count("quick") > 0);
    });
    cr_assert(holds);
}

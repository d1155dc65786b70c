// What must always hold, over random orders of events with faults.
#include "decision_world.hpp"

#include <cstdint>
#include <rapidcheck.h>
#include <vector>

#include <criterion/criterion.h>

using oriolefall::tests::decision_world;

namespace {

std::vector<std::uint32_t> random_choices(std::size_t count)
{
    return *rc::gen::container<std::vector<std::uint32_t>>(
        count, rc::gen::inRange<std::uint32_t>(0, 1U << 24U));
}

} // namespace

Test(decider_properties, every_rule_holds_in_any_order_of_events)
{
    const bool held = rc::check("rules of decision_world", [] {
        decision_world world;
        for (const std::uint32_t choice : random_choices(400))
            world.act(choice);
        world.drain();
    });
    cr_assert(held);
}

Test(decider_properties, equal_events_give_equal_actions)
{
    const bool held = rc::check("determinism", [] {
        decision_world world;
        for (const std::uint32_t choice : random_choices(300))
            world.act(choice);
        world.check_determinism();
    });
    cr_assert(held);
}

Test(decider_properties, every_class_is_served_under_a_flood_of_the_highest)
{
    const bool held = rc::check("no class starves", [] {
        decision_world world;
        const auto gaps = *rc::gen::container<std::vector<int>>(
            4000, rc::gen::inRange(5, 25));
        int number = 0;
        for (const int gap : gaps) {
            world.arrive("quick", static_cast<std::uint32_t>(number % 3));
            // The others come when the flood has taken every server.
            const bool flooded = number > 200;
            if (flooded && number % 10 == 0)
                world.arrive("helpful", 0);
            if (flooded && number % 10 == 5)
                world.arrive("patient", 1);
            // Calls take longer than the next ones need to arrive.
            if (number % 2 == 0)
                world.end_oldest();
            world.pass(absl::Milliseconds(gap));
            ++number;
        }
        RC_ASSERT(world.served("helpful") > 0);
        RC_ASSERT(world.served("patient") > 0);
        RC_ASSERT(world.served("quick") > 0);
    });
    cr_assert(held);
}

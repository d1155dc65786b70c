#include "stand_ins/engine_batch.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall::stand_ins;

namespace {

/// Drives a batch on a clock of its own and keeps what each answer heard.
class batch_driver
{
public:
    explicit batch_driver(const engine_settings& settings) : batch(settings) {}

    void submit(std::uint64_t id, std::uint32_t length, int priority = 1,
                std::uint32_t first = 0)
    {
        generation_order order;
        order.id = id;
        order.priority = priority;
        order.length = length;
        order.first_index = first;
        batch.submit(now, order, [this, id](const stream_event& event) {
            heard[id].push_back(event);
            order_heard.push_back(id);
        });
    }

    /// One step; false when there is no work.
    bool step()
    {
        const auto end = batch.begin_step(now);
        if (!end)
            return false;
        now = *end;
        batch.end_step(now);
        return true;
    }

    void run()
    {
        while (step()) {
        }
    }

    [[nodiscard]] std::vector<std::uint32_t> tokens(std::uint64_t id) const
    {
        std::vector<std::uint32_t> indices;
        for (const stream_event& event : heard.at(id)) {
            if (const auto* token = std::get_if<stream_token>(&event))
                indices.push_back(token->index);
        }
        return indices;
    }

    template <class Event>
    [[nodiscard]] bool ended_with(std::uint64_t id) const
    {
        return std::holds_alternative<Event>(heard.at(id).back());
    }

    absl::Time now = absl::UnixEpoch();
    engine_batch batch;
    std::map<std::uint64_t, std::vector<stream_event>> heard;
    std::vector<std::uint64_t> order_heard;
};

engine_settings with_slots(std::size_t slots)
{
    engine_settings settings;
    settings.slots = slots;
    return settings;
}

} // namespace

Test(engine_batch, gives_every_token_once_in_order)
{
    const bool held = rc::check("all tokens of each answer", [] {
        batch_driver driver(with_slots(*rc::gen::inRange<std::size_t>(1, 5)));
        const auto lengths = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(1, 20));
        const std::size_t taken = std::min<std::size_t>(lengths.size(), 60);
        for (std::size_t id = 0; id < taken; ++id)
            driver.submit(id, lengths[id], static_cast<int>(id % 3));
        driver.run();
        for (std::size_t id = 0; id < taken; ++id) {
            const auto tokens = driver.tokens(id);
            RC_ASSERT(tokens.size() == lengths[id]);
            RC_ASSERT(std::ranges::is_sorted(tokens));
            RC_ASSERT(driver.ended_with<stream_finished>(id));
        }
        RC_ASSERT(driver.batch.stats(driver.now).completed == taken);
    });
    cr_assert(held);
}

Test(engine_batch, serves_the_queue_by_priority)
{
    batch_driver driver(with_slots(1));
    driver.submit(1, 3, 2);
    cr_assert(driver.step());
    driver.submit(2, 1, 2);
    driver.submit(3, 1, 0);
    driver.order_heard.clear();
    driver.run();
    const auto first = [&](std::uint64_t id) {
        return std::ranges::find(driver.order_heard, id);
    };
    cr_assert(first(3) < first(2));
}

Test(engine_batch, a_cancelled_answer_frees_its_slot_and_counts_as_waste)
{
    batch_driver driver(with_slots(1));
    driver.submit(1, 100);
    driver.submit(2, 2);
    for (int i = 0; i < 5; ++i)
        cr_assert(driver.step());
    driver.batch.cancel(driver.now, 1);
    driver.run();
    cr_assert(driver.ended_with<stream_finished>(2));
    const engine_stats stats = driver.batch.stats(driver.now);
    cr_assert_eq(stats.cancelled, 1);
    cr_assert_eq(stats.tokens_wasted, driver.tokens(1).size());
    cr_assert_eq(stats.running, 0);
}

Test(engine_batch, refuses_beyond_its_queue)
{
    engine_settings settings = with_slots(1);
    settings.queue_capacity = 1;
    batch_driver driver(settings);
    driver.submit(1, 5);
    cr_assert(driver.step());
    driver.submit(2, 5);
    driver.submit(3, 5);
    cr_assert(driver.ended_with<stream_refused>(3));
    driver.run();
    cr_assert(driver.ended_with<stream_finished>(2));
}

Test(engine_batch, a_resumed_answer_begins_after_the_last_event)
{
    batch_driver driver(with_slots(1));
    driver.submit(1, 6, 1, 4);
    driver.submit(2, 6, 1, 6);
    driver.run();
    cr_assert(driver.tokens(1) == (std::vector<std::uint32_t>{4, 5}));
    cr_assert(driver.tokens(2).empty());
    cr_assert(driver.ended_with<stream_finished>(2));
}

Test(engine_batch, a_fault_strikes_one_answer)
{
    batch_driver driver(with_slots(4));
    driver.batch.faults().crash_after_tokens = 2;
    driver.submit(1, 5);
    driver.batch.faults().silent_after_tokens = 1;
    driver.submit(2, 5);
    driver.submit(3, 5);
    driver.run();
    cr_assert(driver.ended_with<stream_cut>(1));
    cr_assert_eq(driver.tokens(1).size(), 2);
    cr_assert(driver.ended_with<stream_token>(2));
    cr_assert_eq(driver.tokens(2).size(), 1);
    cr_assert(driver.ended_with<stream_finished>(3));
    cr_assert_eq(driver.batch.stats(driver.now).broken, 2);
}

Test(engine_batch, load_reports_lag_and_lie)
{
    batch_driver driver(with_slots(4));
    driver.batch.faults().lag = absl::Milliseconds(15);
    driver.submit(1, 100);
    cr_assert(driver.step());
    cr_assert_eq(driver.batch.load(driver.now).running, 0);
    cr_assert(driver.step());
    cr_assert(driver.step());
    cr_assert_eq(driver.batch.load(driver.now).running, 1);
    driver.batch.faults().lie_running = 9;
    cr_assert_eq(driver.batch.load(driver.now).running, 9);
}

Test(engine_batch, a_straggler_takes_longer_for_a_step)
{
    batch_driver driver(with_slots(1));
    driver.submit(1, 100);
    const absl::Time usual = *driver.batch.begin_step(driver.now);
    driver.batch.faults().straggle = 4.0;
    const absl::Time slow = *driver.batch.begin_step(driver.now);
    cr_assert_eq(slow - driver.now, 4 * (usual - driver.now));
}

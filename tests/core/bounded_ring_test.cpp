#include "oriolefall/core/bounded_ring.hpp"

#include <chrono>
#include <deque>
#include <numeric>
#include <rapidcheck.h>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using oriolefall::core::bounded_ring;
using namespace std::chrono_literals;

namespace {

enum class operation
{
    push,
    pop,
    reserve,
    fill,
    release
};

/// A ring and the reference model that it is compared with.
struct ring_and_model
{
    explicit ring_and_model(std::size_t capacity) : ring(capacity) {}

    void apply(operation kind, int value)
    {
        switch (kind) {
        case operation::push:
            push(value);
            break;
        case operation::pop:
            pop();
            break;
        case operation::reserve:
            reserve();
            break;
        case operation::fill:
            fill(value);
            break;
        case operation::release:
            release();
            break;
        }
    }

    [[nodiscard]] bool has_room() const
    {
        return model.size() + reservations.size() < ring.capacity();
    }

    void push(int value)
    {
        const bool expected = has_room();
        RC_ASSERT(ring.try_push(value) == expected);
        if (expected)
            model.push_back(value);
    }

    void pop()
    {
        auto popped_value = ring.pop_until(std::chrono::steady_clock::now());
        if (model.empty()) {
            RC_ASSERT(std::holds_alternative<oriolefall::core::ring_timeout>(
                popped_value));
            return;
        }
        RC_ASSERT(std::get<int>(popped_value) == model.front());
        model.pop_front();
    }

    void reserve()
    {
        const bool expected = has_room();
        auto slot = ring.try_reserve();
        RC_ASSERT(slot.has_value() == expected);
        if (slot)
            reservations.push_back(std::move(*slot));
    }

    void fill(int value)
    {
        if (reservations.empty())
            return;
        RC_ASSERT(reservations.back().fill(value));
        reservations.pop_back();
        model.push_back(value);
    }

    void release()
    {
        if (!reservations.empty())
            reservations.pop_back();
    }

    bounded_ring<int> ring;
    std::deque<int> model;
    std::vector<bounded_ring<int>::reservation> reservations;
};

} // namespace

Test(bounded_ring, behaves_as_a_bounded_deque)
{
    const bool passed = rc::check("ring equals deque", [] {
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 8);
        const auto operations =
            *rc::gen::container<std::vector<operation>>(rc::gen::element(
                operation::push, operation::pop, operation::reserve,
                operation::fill, operation::release));
        ring_and_model tested(capacity);
        int value = 0;
        for (const operation each : operations)
            tested.apply(each, value++);
        RC_ASSERT(tested.ring.size() == tested.model.size());
    });
    cr_assert(passed);
}

Test(bounded_ring, delivers_every_value_in_the_order_of_its_sender)
{
    constexpr int sender_count = 4;
    constexpr int values_per_sender = 5000;
    bounded_ring<std::pair<int, int>> ring(16);
    std::vector<std::thread> threads;
    for (int sender = 0; sender < sender_count; ++sender) {
        threads.emplace_back([&ring, sender] {
            for (int i = 0; i < values_per_sender; ++i)
                ring.push({sender, i});
        });
    }
    std::vector<int> next_values(sender_count, 0);
    for (int i = 0; i < sender_count * values_per_sender; ++i) {
        const auto popped_value = ring.pop();
        cr_assert(popped_value.has_value());
        cr_assert_eq(
            popped_value->second,
            next_values[static_cast<std::size_t>(popped_value->first)]++);
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert_eq(ring.size(), 0);
}

Test(bounded_ring, close_wakes_all_waiting_threads)
{
    bounded_ring<int> empty(1);
    bounded_ring<int> full(1);
    cr_assert(full.try_push(1));
    bool popped = true;
    bool pushed = true;
    std::thread reader([&] { popped = empty.pop().has_value(); });
    std::thread writer([&] { pushed = full.push(2); });
    empty.close();
    full.close();
    reader.join();
    writer.join();
    cr_assert_not(popped);
    cr_assert_not(pushed);
    cr_assert_eq(full.pop().value_or(0), 1);
    cr_assert_not(full.pop().has_value());
}

Test(bounded_ring, a_reservation_can_be_filled_when_the_ring_is_full)
{
    bounded_ring<int> ring(2);
    auto slot = ring.try_reserve();
    cr_assert(slot.has_value());
    cr_assert(ring.try_push(1));
    cr_assert_not(ring.try_push(2));
    cr_assert(slot->fill(3));
    cr_assert_eq(ring.pop().value_or(0), 1);
    cr_assert_eq(ring.pop().value_or(0), 3);
}

Test(bounded_ring, pop_some_returns_batches_in_order)
{
    bounded_ring<int> ring(8);
    for (int i = 0; i < 6; ++i)
        cr_assert(ring.try_push(i));
    std::vector<int> batch;
    cr_assert(ring.pop_some(batch, 4, std::chrono::steady_clock::now() + 1s));
    cr_assert_eq(batch.size(), 4);
    cr_assert_eq(std::accumulate(batch.begin(), batch.end(), 0), 6);
    ring.close();
    batch.clear();
    cr_assert(ring.pop_some(batch, 4, std::chrono::steady_clock::now() + 1s));
    cr_assert_eq(batch.size(), 2);
    batch.clear();
    cr_assert_not(
        ring.pop_some(batch, 4, std::chrono::steady_clock::now() + 1s));
}

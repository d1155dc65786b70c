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

/// The ring and the plain model that it is held against.
struct ring_and_model
{
    explicit ring_and_model(std::size_t capacity) : ring(capacity) {}

    void apply(operation what, int value)
    {
        switch (what) {
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
        auto got = ring.pop_until(std::chrono::steady_clock::now());
        if (model.empty()) {
            RC_ASSERT(
                std::holds_alternative<oriolefall::core::ring_timeout>(got));
            return;
        }
        RC_ASSERT(std::get<int>(got) == model.front());
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
    const bool held = rc::check("ring equals deque", [] {
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 8);
        const auto steps =
            *rc::gen::container<std::vector<operation>>(rc::gen::element(
                operation::push, operation::pop, operation::reserve,
                operation::fill, operation::release));
        ring_and_model both(capacity);
        int value = 0;
        for (const operation what : steps)
            both.apply(what, value++);
        RC_ASSERT(both.ring.size() == both.model.size());
    });
    cr_assert(held);
}

Test(bounded_ring, keeps_every_value_and_each_senders_order)
{
    constexpr int senders = 4;
    constexpr int values = 5000;
    bounded_ring<std::pair<int, int>> ring(16);
    std::vector<std::thread> threads;
    for (int sender = 0; sender < senders; ++sender) {
        threads.emplace_back([&ring, sender] {
            for (int i = 0; i < values; ++i)
                ring.push({sender, i});
        });
    }
    std::vector<int> next(senders, 0);
    for (int i = 0; i < senders * values; ++i) {
        const auto got = ring.pop();
        cr_assert(got.has_value());
        cr_assert_eq(got->second, next[static_cast<std::size_t>(got->first)]++);
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert_eq(ring.size(), 0);
}

Test(bounded_ring, close_wakes_every_waiter)
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

Test(bounded_ring, a_reservation_finds_room_in_a_full_ring)
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

Test(bounded_ring, pop_some_takes_a_batch_in_order)
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

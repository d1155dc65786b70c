#ifndef ORIOLEFALL_CORE_BOUNDED_RING_HPP
#define ORIOLEFALL_CORE_BOUNDED_RING_HPP

#include <cassert>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace oriolefall::core {

/// No value arrived before the deadline given to `pop_until`.
struct ring_timeout
{
};

/// The ring was closed and has been drained.
struct ring_closed
{
};

/// Result of a wait with a deadline for the next value.
template <class T>
using pop_result = std::variant<T, ring_timeout, ring_closed>;

/// A bounded queue between the threads of two duties. Threads wait on
/// condition variables and never spin. Thread-safe. A slot can be reserved in
/// advance, so that there is always room for a value which must not be lost.
template <class T>
class bounded_ring
{
public:
    /// A reserved slot of a ring; released if it is destroyed unused.
    class reservation
    {
    public:
        reservation(reservation&& other) noexcept
            : ring_(std::exchange(other.ring_, nullptr))
        {
        }
        reservation& operator=(reservation&& other) noexcept
        {
            std::swap(ring_, other.ring_);
            return *this;
        }
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;
        ~reservation()
        {
            if (ring_ != nullptr)
                ring_->release();
        }

        /// Pushes `value` into the reserved slot. Never blocks. Returns false
        /// if the ring is closed. May be called once.
        bool fill(T value)
        {
            assert(ring_ != nullptr);
            return std::exchange(ring_, nullptr)->fill(std::move(value));
        }

    private:
        friend class bounded_ring;
        explicit reservation(bounded_ring* ring) : ring_(ring) {}
        bounded_ring* ring_;
    };

    /// `capacity`: maximum number of values and reservations; at least one.
    explicit bounded_ring(std::size_t capacity) : slots_(capacity)
    {
        assert(capacity > 0);
    }

    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;

    /// Never blocks. Returns false if the ring is full or closed; `value` is
    /// then dropped.
    bool try_push(T value)
    {
        return try_push_leaving(0, std::move(value));
    }

    /// Like `try_push`, but leaves room for `spare` more values: for a value
    /// that may be dropped, beside others that must not be.
    bool try_push_leaving(std::size_t spare, T value)
    {
        const std::lock_guard lock(mutex_);
        if (closed_ || !has_room(spare))
            return false;
        put(std::move(value));
        return true;
    }

    /// Blocks while the ring is full. Returns false if it is closed.
    bool push(T value)
    {
        std::unique_lock lock(mutex_);
        not_full_.wait(lock, [this] { return closed_ || has_room(); });
        if (closed_)
            return false;
        put(std::move(value));
        return true;
    }

    /// Blocks like `push`, but not after `deadline`. `value` is moved from only
    /// if the result is true.
    bool push_until(T& value, std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock lock(mutex_);
        const bool ready = not_full_.wait_until(
            lock, deadline, [this] { return closed_ || has_room(); });
        if (!ready || closed_)
            return false;
        put(std::move(value));
        return true;
    }

    /// Reserves a slot. Never blocks. Returns nullopt if full or closed.
    [[nodiscard]] std::optional<reservation> try_reserve()
    {
        const std::lock_guard lock(mutex_);
        if (closed_ || !has_room())
            return std::nullopt;
        ++reserved_;
        return reservation(this);
    }

    /// Blocks until there is a value. Returns nullopt if closed and drained.
    [[nodiscard]] std::optional<T> pop()
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait(lock, [this] { return closed_ || count_ > 0; });
        if (count_ == 0)
            return std::nullopt;
        return take();
    }

    /// Blocks until there is a value or `deadline` is reached.
    [[nodiscard]] pop_result<T>
    pop_until(std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock lock(mutex_);
        const bool ready = not_empty_.wait_until(
            lock, deadline, [this] { return closed_ || count_ > 0; });
        if (!ready)
            return ring_timeout{};
        if (count_ == 0)
            return ring_closed{};
        return take();
    }

    /// Blocks like `pop_until`, then appends up to `max_count` values to `out`
    /// under one lock. Returns false if closed and drained.
    bool pop_some(std::vector<T>& out, std::size_t max_count,
                  std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait_until(lock, deadline,
                              [this] { return closed_ || count_ > 0; });
        for (std::size_t taken = 0; taken < max_count && count_ > 0; ++taken)
            out.push_back(take());
        return !(closed_ && count_ == 0 && out.empty());
    }

    /// Rejects further values; the queued ones can still be popped.
    void close()
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        not_empty_.notify_all();
        not_full_.notify_all();
    }

    [[nodiscard]] bool closed() const
    {
        const std::lock_guard lock(mutex_);
        return closed_;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(mutex_);
        return count_;
    }

    [[nodiscard]] std::size_t capacity() const noexcept
    {
        return slots_.size();
    }

private:
    /// For one value more, and `spare` others.
    [[nodiscard]] bool has_room(std::size_t spare = 0) const
    {
        return count_ + reserved_ + spare < slots_.size();
    }

    void put(T&& value)
    {
        assert(count_ < slots_.size());
        slots_[(head_ + count_) % slots_.size()].emplace(std::move(value));
        ++count_;
        not_empty_.notify_one();
    }

    T take()
    {
        std::optional<T>& slot = slots_[head_];
        T value = std::move(*slot);
        slot.reset();
        head_ = (head_ + 1) % slots_.size();
        --count_;
        not_full_.notify_one();
        return value;
    }

    bool fill(T value)
    {
        const std::lock_guard lock(mutex_);
        assert(reserved_ > 0);
        --reserved_;
        if (closed_)
            return false;
        put(std::move(value));
        return true;
    }

    void release()
    {
        const std::lock_guard lock(mutex_);
        assert(reserved_ > 0);
        --reserved_;
        not_full_.notify_one();
    }

    mutable std::mutex mutex_;
    std::condition_variable not_empty_;
    std::condition_variable not_full_;
    std::vector<std::optional<T>> slots_;
    std::size_t head_ = 0;
    std::size_t count_ = 0;
    std::size_t reserved_ = 0;
    bool closed_ = false;
};

} // namespace oriolefall::core

#endif

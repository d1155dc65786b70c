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

/// Nothing came before the time given to `pop_until`.
struct ring_timeout
{
};

/// The ring was closed and has been drained.
struct ring_closed
{
};

/// What a bounded wait for the next value gave.
template <class T>
using pop_result = std::variant<T, ring_timeout, ring_closed>;

/// A bounded queue that joins the thread of one duty to that of another.
/// Waiting is on POSIX conditions; no call spins. Any thread may call any
/// member. A slot may be reserved ahead, so that a value which must not be
/// lost always finds room.
template <class T>
class bounded_ring
{
public:
    /// A place kept free in a ring; given back when it is destroyed unused.
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

        /// Puts `value` into the reserved place. Never blocks; false when the
        /// ring is closed. At most once.
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

    /// `capacity`: values and reservations held at most, one or more.
    explicit bounded_ring(std::size_t capacity) : slots_(capacity)
    {
        assert(capacity > 0);
    }

    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;

    /// Never blocks. False when the ring is full or closed; `value` is then
    /// dropped.
    bool try_push(T value)
    {
        const std::lock_guard lock(mutex_);
        if (closed_ || !has_room())
            return false;
        put(std::move(value));
        return true;
    }

    /// Blocks while the ring is full. False when it is closed.
    bool push(T value)
    {
        std::unique_lock lock(mutex_);
        not_full_.wait(lock, [this] { return closed_ || has_room(); });
        if (closed_)
            return false;
        put(std::move(value));
        return true;
    }

    /// Blocks like `push`, until `until` at the latest. `value` is moved from
    /// only when true is returned.
    bool push_until(T& value, std::chrono::steady_clock::time_point until)
    {
        std::unique_lock lock(mutex_);
        const bool ready = not_full_.wait_until(
            lock, until, [this] { return closed_ || has_room(); });
        if (!ready || closed_)
            return false;
        put(std::move(value));
        return true;
    }

    /// Reserves a place. Never blocks; nothing when full or closed.
    [[nodiscard]] std::optional<reservation> try_reserve()
    {
        const std::lock_guard lock(mutex_);
        if (closed_ || !has_room())
            return std::nullopt;
        ++reserved_;
        return reservation(this);
    }

    /// Blocks until a value comes; nothing when closed and drained.
    [[nodiscard]] std::optional<T> pop()
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait(lock, [this] { return closed_ || count_ > 0; });
        if (count_ == 0)
            return std::nullopt;
        return take();
    }

    /// Blocks until a value comes or `until` is reached.
    [[nodiscard]] pop_result<T>
    pop_until(std::chrono::steady_clock::time_point until)
    {
        std::unique_lock lock(mutex_);
        const bool ready = not_empty_.wait_until(
            lock, until, [this] { return closed_ || count_ > 0; });
        if (!ready)
            return ring_timeout{};
        if (count_ == 0)
            return ring_closed{};
        return take();
    }

    /// Blocks like `pop_until`, then moves up to `most` values to the end of
    /// `out` under one lock. False when closed and drained.
    bool pop_some(std::vector<T>& out, std::size_t most,
                  std::chrono::steady_clock::time_point until)
    {
        std::unique_lock lock(mutex_);
        not_empty_.wait_until(lock, until,
                              [this] { return closed_ || count_ > 0; });
        for (std::size_t taken = 0; taken < most && count_ > 0; ++taken)
            out.push_back(take());
        return !(closed_ && count_ == 0 && out.empty());
    }

    /// Refuses further values; those inside can still be taken.
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
    [[nodiscard]] bool has_room() const
    {
        return count_ + reserved_ < slots_.size();
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

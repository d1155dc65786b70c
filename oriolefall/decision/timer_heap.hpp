#ifndef ORIOLEFALL_DECISION_TIMER_HEAP_HPP
#define ORIOLEFALL_DECISION_TIMER_HEAP_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <variant>
#include <vector>

namespace oriolefall::decision {

/// A deadline, retry, claim or latest start of a request.
struct request_timer
{
    core::request_id request;
    auto operator<=>(const request_timer&) const = default;
};

/// A server may be usable again.
struct server_timer
{
    std::uint32_t server = 0;
    auto operator<=>(const server_timer&) const = default;
};

/// Queued requests should be dispatched again.
struct dispatch_timer
{
    auto operator<=>(const dispatch_timer&) const = default;
};

using timer = std::variant<request_timer, server_timer, dispatch_timer>;

/// Min-heap of timers. Timers cannot be cancelled: the handler of an expired
/// timer checks whether it still applies.
class timer_heap
{
public:
    void add(absl::Time due_at, timer pending)
    {
        if (due_at < absl::InfiniteFuture())
            heap_.push(entry{due_at, pending});
    }

    /// Time of the earliest timer; infinite if there is none.
    [[nodiscard]] absl::Time next_due() const
    {
        return heap_.empty() ? absl::InfiniteFuture() : heap_.top().due_at;
    }

    /// Removes and returns a timer that has expired at `now`, if any.
    [[nodiscard]] std::optional<timer> pop_due(absl::Time now)
    {
        if (heap_.empty() || heap_.top().due_at > now)
            return std::nullopt;
        const timer pending = heap_.top().pending;
        heap_.pop();
        return pending;
    }

private:
    struct entry
    {
        absl::Time due_at;
        timer pending;
        std::strong_ordering operator<=>(const entry&) const = default;
    };

    std::priority_queue<entry, std::vector<entry>, std::greater<>> heap_;
};

} // namespace oriolefall::decision

#endif

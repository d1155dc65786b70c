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

/// A request has something due: a deadline, a retry, a claim.
struct request_due
{
    core::request_id request;
    auto operator<=>(const request_due&) const = default;
};

/// A server may be used again.
struct server_due
{
    std::uint32_t server = 0;
    auto operator<=>(const server_due&) const = default;
};

/// Queues are to be looked at again.
struct dispatch_due
{
    auto operator<=>(const dispatch_due&) const = default;
};

using due = std::variant<request_due, server_due, dispatch_due>;

/// What is due when. Entries are not taken back: who takes one looks whether
/// it still holds.
class timer_heap
{
public:
    void add(absl::Time at, due what)
    {
        if (at < absl::InfiniteFuture())
            heap_.push(entry{at, what});
    }

    /// The earliest time; infinite when there is none.
    [[nodiscard]] absl::Time next() const
    {
        return heap_.empty() ? absl::InfiniteFuture() : heap_.top().at;
    }

    /// Takes one entry that is due at `now`.
    [[nodiscard]] std::optional<due> take(absl::Time now)
    {
        if (heap_.empty() || heap_.top().at > now)
            return std::nullopt;
        const due what = heap_.top().what;
        heap_.pop();
        return what;
    }

private:
    struct entry
    {
        absl::Time at;
        due what;
        std::strong_ordering operator<=>(const entry&) const = default;
    };

    std::priority_queue<entry, std::vector<entry>, std::greater<>> heap_;
};

} // namespace oriolefall::decision

#endif

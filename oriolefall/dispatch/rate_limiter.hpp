#ifndef ORIOLEFALL_DISPATCH_RATE_LIMITER_HPP
#define ORIOLEFALL_DISPATCH_RATE_LIMITER_HPP

#include <absl/time/time.h>

#include <optional>

namespace oriolefall::dispatch {

/// The limit that one backend server names for the requests from all instances
/// together, and the part of it that this instance may use: a token bucket that
/// holds one token at most, so that instances can't save up for a burst. Not
/// thread-safe.
class rate_limiter
{
public:
    /// The server named this limit, or none. Returns true when it is another
    /// one than before.
    bool update(absl::Time heard_at, std::optional<double> limit);
    /// Requests per second from all instances; empty without a limit.
    [[nodiscard]] std::optional<double> limit() const;
    /// When the current limit was last heard, or the last one was lifted.
    [[nodiscard]] absl::Time heard_at() const;

    /// Sets the requests per second that this instance may send while there is
    /// a limit. `first_tokens` from 0 to 1 is the content of a new bucket.
    void set_share(absl::Time now, double per_second, double first_tokens);
    [[nodiscard]] bool may_send(absl::Time now) const;
    void record_call(absl::Time now);
    /// Earliest time of the next call; InfiniteFuture if there is none.
    [[nodiscard]] absl::Time next_call_at(absl::Time now) const;

private:
    [[nodiscard]] double tokens_at(absl::Time now) const;

    std::optional<double> limit_;
    absl::Time heard_at_ = absl::InfinitePast();
    double per_second_ = 0;
    /// Empty until the share is set.
    std::optional<double> tokens_;
    absl::Time tokens_counted_at_ = absl::InfinitePast();
};

} // namespace oriolefall::dispatch

#endif

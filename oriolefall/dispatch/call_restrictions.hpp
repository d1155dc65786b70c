#ifndef ORIOLEFALL_DISPATCH_CALL_RESTRICTIONS_HPP
#define ORIOLEFALL_DISPATCH_CALL_RESTRICTIONS_HPP

#include "oriolefall/dispatch/crash_report.hpp"
#include "oriolefall/dispatch/rate_limiter.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <map>

namespace oriolefall::dispatch {

/// What incarnations of backend servers have said that keeps calls from them.
/// It holds whatever the store says of the server before or afterwards, and
/// ends with the incarnation. Not thread-safe.
class call_restrictions
{
public:
    struct restriction
    {
        bool is_leaving = false;
        absl::Time quiet_until = absl::InfinitePast();
        [[nodiscard]] bool takes_calls(absl::Time now) const
        {
            return !is_leaving && now >= quiet_until;
        }
    };

    /// `capacity` is the maximum number of incarnations that are remembered.
    explicit call_restrictions(std::size_t capacity);

    /// Both return false when that was known already.
    bool set_leaving(const server_incarnation& server);
    bool set_quiet(const server_incarnation& server, absl::Time until);
    /// Keeps the limit of a server that the store no longer lists.
    void keep_limiter(const server_incarnation& server,
                      const rate_limiter& limiter);
    /// Takes it out; without limit if there is none.
    [[nodiscard]] rate_limiter take_limiter(const server_incarnation& server);
    [[nodiscard]] restriction of(const server_incarnation& server) const;

private:
    restriction& remember(const server_incarnation& server);

    std::size_t capacity_;
    std::map<server_incarnation, restriction> restrictions_;
    std::map<server_incarnation, rate_limiter> limiters_;
    /// Oldest first.
    std::deque<server_incarnation> order_;
};

} // namespace oriolefall::dispatch

#endif

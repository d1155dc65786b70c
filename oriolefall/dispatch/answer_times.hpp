#ifndef ORIOLEFALL_DISPATCH_ANSWER_TIMES_HPP
#define ORIOLEFALL_DISPATCH_ANSWER_TIMES_HPP

#include "oriolefall/routing/route_settings.hpp"

#include <absl/time/time.h>

#include <compare>
#include <map>

namespace oriolefall::dispatch {

/// Typical times of the answers of each route, as moving averages. Not
/// thread-safe.
class answer_times
{
public:
    struct typical
    {
        /// From the call to the first event or the head of the answer.
        absl::Duration start;
        /// From there to the end of the answer.
        absl::Duration rest;
        std::strong_ordering operator<=>(const typical&) const = default;
    };

    void record(const routing::route_name& route, typical measured);
    /// Null before the first answer.
    [[nodiscard]] const typical* find(const routing::route_name& route) const;
    /// Forgets the routes that are not in the settings.
    void keep_routes(const routing::route_settings& settings);

private:
    std::map<routing::route_name, typical> by_route_;
};

} // namespace oriolefall::dispatch

#endif

#include "oriolefall/dispatch/answer_times.hpp"

#include <algorithm>

namespace oriolefall::dispatch {

namespace {

/// Weight of the newest answer; some 20 answers are remembered.
constexpr double newest_weight = 0.05;

} // namespace

void answer_times::record(const routing::route_name& route, typical measured)
{
    const auto [found, is_new] = by_route_.try_emplace(route, measured);
    if (is_new)
        return;
    typical& known = found->second;
    known.start += (measured.start - known.start) * newest_weight;
    known.rest += (measured.rest - known.rest) * newest_weight;
}

const answer_times::typical*
answer_times::find(const routing::route_name& route) const
{
    const auto found = by_route_.find(route);
    return found == by_route_.end() ? nullptr : &found->second;
}

void answer_times::keep_routes(const routing::route_settings& settings)
{
    std::erase_if(by_route_, [&settings](const auto& each) {
        return std::ranges::find(settings.routes, each.first,
                                 &routing::route::name) ==
               settings.routes.end();
    });
}

} // namespace oriolefall::dispatch

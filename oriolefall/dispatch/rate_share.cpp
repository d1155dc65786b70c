#include "oriolefall/dispatch/rate_share.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Senders of a server that takes next to nothing.
constexpr std::uint32_t min_senders = 3;
/// Time within which the senders may have sent one request each.
constexpr double senders_seconds = 2;
constexpr double max_counted_limit = 1e6;

} // namespace

std::uint32_t sender_count(double limit, std::uint32_t instances)
{
    const auto by_limit = static_cast<std::uint32_t>(
        std::floor(senders_seconds * std::min(limit, max_counted_limit)));
    return std::clamp(min_senders + by_limit, 1U, std::max(instances, 1U));
}

double own_rate_share(double limit, const core::backend_server_id& server,
                      const core::instance_id& self,
                      std::span<const core::instance_id> members,
                      std::uint32_t instances)
{
    const auto known = static_cast<std::uint32_t>(members.size());
    const std::uint32_t senders =
        sender_count(limit, std::max(known, instances));
    const auto weight_of = [&server](const core::instance_id& id) {
        return std::pair(
            membership::rendezvous_weight(server.value(), id.value()), id);
    };
    const auto own_weight = weight_of(self);
    const auto ahead =
        std::ranges::count_if(members, [&](const core::instance_id& each) {
            return each != self && weight_of(each) > own_weight;
        });
    return ahead < static_cast<std::ptrdiff_t>(senders) ? limit / senders : 0;
}

} // namespace oriolefall::dispatch

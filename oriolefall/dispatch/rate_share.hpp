#ifndef ORIOLEFALL_DISPATCH_RATE_SHARE_HPP
#define ORIOLEFALL_DISPATCH_RATE_SHARE_HPP

#include "oriolefall/core/ids.hpp"

#include <cstdint>
#include <span>

namespace oriolefall::dispatch {

/// Number of instances that send requests to a server with this limit, in
/// requests per second. Each may send one request at any moment, so there must
/// not be many more than the server takes in seconds.
[[nodiscard]] std::uint32_t sender_count(double limit, std::uint32_t instances);

/// Requests per second that `self` may send to a server with this limit; 0 if
/// it is not one of the senders. Instances with the same list of members choose
/// the same senders, by rendezvous hashing. `instances` is the number of those
/// that may be there, known or not.
[[nodiscard]] double own_rate_share(double limit,
                                    const core::backend_server_id& server,
                                    const core::instance_id& self,
                                    std::span<const core::instance_id> members,
                                    std::uint32_t instances);

} // namespace oriolefall::dispatch

#endif

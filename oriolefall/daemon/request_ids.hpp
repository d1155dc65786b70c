#ifndef ORIOLEFALL_DAEMON_REQUEST_IDS_HPP
#define ORIOLEFALL_DAEMON_REQUEST_IDS_HPP

#include "oriolefall/core/ids.hpp"

#include <atomic>
#include <cstdint>

namespace oriolefall::daemon {

/// Gives each request an identifier that other instances and earlier starts
/// of this one are unlikely to have given. Any thread.
class request_ids
{
public:
    /// Starts from a random block of identifiers. All stay below 2^53, which
    /// JSON numbers can hold.
    request_ids();

    [[nodiscard]] core::request_id next();

private:
    std::atomic<std::uint64_t> next_;
};

} // namespace oriolefall::daemon

#endif

#ifndef ORIOLEFALL_DAEMON_REQUEST_IDS_HPP
#define ORIOLEFALL_DAEMON_REQUEST_IDS_HPP

#include "oriolefall/core/ids.hpp"

#include <atomic>
#include <cstdint>

namespace oriolefall::daemon {

/// Generates request identifiers that other instances and earlier starts of
/// this one are unlikely to have generated. Thread-safe.
class request_ids
{
public:
    /// Starts from a random block of identifiers. All stay below 2^53, so that
    /// a JSON number represents them exactly.
    request_ids();

    [[nodiscard]] core::request_id next();

private:
    std::atomic<std::uint64_t> next_id_;
};

} // namespace oriolefall::daemon

#endif

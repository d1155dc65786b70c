#ifndef ORIOLEFALL_BACKEND_CONNECTION_CACHE_HPP
#define ORIOLEFALL_BACKEND_CONNECTION_CACHE_HPP

#include "oriolefall/backend/call_worker_settings.hpp"
#include "oriolefall/core/backend_server.hpp"

#include <absl/container/flat_hash_map.h>

#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oriolefall::backend {

using connection_ptr = std::shared_ptr<httplib::Client>;

/// Caches idle connections to backend servers for later calls. Thread-safe.
class connection_cache
{
public:
    explicit connection_cache(const call_worker_settings& settings);

    /// Returns an idle connection to `endpoint`, or a new one that connects on
    /// its first use. One on which bytes wait is closed instead: they belong to
    /// a call before.
    [[nodiscard]] connection_ptr acquire(const core::endpoint& endpoint);
    /// Returns a new connection that connects on its first use.
    [[nodiscard]] connection_ptr make(const core::endpoint& endpoint) const;
    /// Retains a connection that can be used for another call, if there is
    /// room.
    void release(const core::endpoint& endpoint, connection_ptr connection);

private:
    call_worker_settings settings_;
    std::mutex mutex_;
    absl::flat_hash_map<std::string, std::vector<connection_ptr>> idle_;
};

} // namespace oriolefall::backend

#endif

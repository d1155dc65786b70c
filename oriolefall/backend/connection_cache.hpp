#ifndef ORIOLEFALL_BACKEND_CONNECTION_CACHE_HPP
#define ORIOLEFALL_BACKEND_CONNECTION_CACHE_HPP

#include "oriolefall/backend/lane_settings.hpp"
#include "oriolefall/core/backend_server.hpp"

#include <absl/container/flat_hash_map.h>

#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oriolefall::backend {

using connection_ptr = std::shared_ptr<httplib::Client>;

/// Keeps idle connections to backend servers for the next call. Any thread.
class connection_cache
{
public:
    explicit connection_cache(const lane_settings& settings);

    /// An idle connection to `endpoint`, or a new one that connects at its
    /// first use.
    [[nodiscard]] connection_ptr take(const core::endpoint& endpoint);
    /// A connection that no call has used before.
    [[nodiscard]] connection_ptr make(const core::endpoint& endpoint) const;
    /// Keeps a connection that is fit for another call.
    void give_back(const core::endpoint& endpoint, connection_ptr connection);

private:
    lane_settings settings_;
    std::mutex mutex_;
    absl::flat_hash_map<std::string, std::vector<connection_ptr>> idle_;
};

} // namespace oriolefall::backend

#endif

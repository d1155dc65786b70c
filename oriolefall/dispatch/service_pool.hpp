#ifndef ORIOLEFALL_DISPATCH_SERVICE_POOL_HPP
#define ORIOLEFALL_DISPATCH_SERVICE_POOL_HPP

#include "oriolefall/dispatch/peer_load.hpp"
#include "oriolefall/dispatch/placement.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <span>
#include <vector>

namespace oriolefall::dispatch {

/// The backend servers of one service. Not thread-safe.
class service_pool
{
public:
    /// The servers must stay valid until the next call of this function.
    void set_servers(std::vector<server_state*> servers);

    /// Views of all servers for the placement of a request with this prompt.
    [[nodiscard]] std::vector<server_view>
    views(std::span<const prompt_part> prompt, const peer_load& peers) const;
    /// Mean slowness of the servers; 1 if there are none.
    [[nodiscard]] double mean_slowness() const;

private:
    std::vector<server_state*> servers_;
};

} // namespace oriolefall::dispatch

#endif

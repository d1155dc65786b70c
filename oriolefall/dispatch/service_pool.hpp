#ifndef ORIOLEFALL_DISPATCH_SERVICE_POOL_HPP
#define ORIOLEFALL_DISPATCH_SERVICE_POOL_HPP

#include "oriolefall/dispatch/fleet_load.hpp"
#include "oriolefall/dispatch/placement.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <span>
#include <vector>

namespace oriolefall::dispatch {

/// The backend servers of one service, as placement sees them. One thread.
class service_pool
{
public:
    /// The servers must outlive the next call.
    void set_servers(std::vector<server_state*> servers);

    /// All servers as a request with this prompt sees them.
    [[nodiscard]] std::vector<server_view>
    views(std::span<const prompt_part> prompt, const fleet_load& others) const;
    /// Mean slowness of the servers; 1 without any.
    [[nodiscard]] double mean_slowness() const;

private:
    std::vector<server_state*> servers_;
};

} // namespace oriolefall::dispatch

#endif

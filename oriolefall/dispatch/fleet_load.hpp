#ifndef ORIOLEFALL_DISPATCH_FLEET_LOAD_HPP
#define ORIOLEFALL_DISPATCH_FLEET_LOAD_HPP

#include "oriolefall/dispatch/load_report.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>

namespace oriolefall::dispatch {

/// Load of the other instances, summed from their reports. In a large fleet
/// only linked instances are heard; what a few of them have under way is not
/// projected to all, as the error would be larger than the load. One thread.
class fleet_load
{
public:
    struct sum
    {
        double calls = 0;
        /// Prompt tokens still to be read.
        double backlog_tokens = 0;
    };

    void hear(absl::Time now, const core::instance_id& from,
              const load_report& report);
    /// Forgets reports that are too old. Before the sums are asked for.
    void refresh(absl::Time now);

    /// Calls and backlog of the others at a server.
    [[nodiscard]] sum at_server(const core::backend_server_id& server) const;

private:
    struct heard
    {
        load_report report;
        absl::Time at;
    };
    void add_up();

    std::map<core::instance_id, heard> reports_;
    absl::flat_hash_map<core::backend_server_id, sum> servers_;
};

} // namespace oriolefall::dispatch

#endif

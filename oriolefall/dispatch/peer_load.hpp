#ifndef ORIOLEFALL_DISPATCH_PEER_LOAD_HPP
#define ORIOLEFALL_DISPATCH_PEER_LOAD_HPP

#include "oriolefall/dispatch/load_report.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>

namespace oriolefall::dispatch {

/// Load that the other instances put on the backend servers, summed from their
/// reports. In a large fleet only instances with a peer link send reports; the
/// sum is not extrapolated to all instances, as the error would be larger than
/// the load. Not thread-safe.
class peer_load
{
public:
    struct totals
    {
        double calls = 0;
        /// Uncached prompt tokens whose prefill is not finished.
        double backlog_tokens = 0;
    };

    void update(absl::Time now, const core::instance_id& from,
                const load_report& report);
    /// Drops reports that are too old. Call it before reading the totals.
    void expire_reports(absl::Time now);

    /// Changes whenever the totals may have changed.
    [[nodiscard]] std::uint64_t revision() const;
    /// Mean of the reported lane shares of a service; empty without reports.
    [[nodiscard]] std::optional<double>
    mean_lane_share(const routing::service_name& service) const;

    /// Calls and backlog of the other instances at a server.
    [[nodiscard]] totals at_server(const core::backend_server_id& server) const;

private:
    struct received_report
    {
        load_report report;
        absl::Time received_at;
    };
    void recompute_totals();

    std::map<core::instance_id, received_report> reports_;
    absl::flat_hash_map<core::backend_server_id, totals> server_totals_;
    std::uint64_t revision_ = 0;
};

} // namespace oriolefall::dispatch

#endif

#include "oriolefall/dispatch/peer_load.hpp"

#include <algorithm>

namespace oriolefall::dispatch {

namespace {

/// Reports older than this no longer count.
constexpr absl::Duration report_lifetime = absl::Milliseconds(900);

} // namespace

void peer_load::update(absl::Time now, const core::instance_id& from,
                       const load_report& report)
{
    reports_.insert_or_assign(from, received_report{report, now});
    recompute_totals();
}

void peer_load::expire_reports(absl::Time now)
{
    const auto expired = std::erase_if(reports_, [now](const auto& each) {
        return now - each.second.received_at > report_lifetime;
    });
    if (expired > 0)
        recompute_totals();
}

peer_load::totals
peer_load::at_server(const core::backend_server_id& server) const
{
    const auto found = server_totals_.find(server);
    return found == server_totals_.end() ? totals{} : found->second;
}

std::uint64_t peer_load::revision() const
{
    return revision_;
}

std::optional<double>
peer_load::mean_lane_share(const routing::service_name& service) const
{
    constexpr double permille = 1000;
    double sum = 0;
    std::size_t count = 0;
    for (const auto& [from, each] : reports_) {
        for (const lane_share& lane : each.report.lanes) {
            if (lane.service != service)
                continue;
            sum += lane.permille / permille;
            ++count;
        }
    }
    if (count == 0)
        return std::nullopt;
    return sum / static_cast<double>(count);
}

void peer_load::recompute_totals()
{
    ++revision_;
    server_totals_.clear();
    for (const auto& [from, each] : reports_) {
        for (const server_load_share& share : each.report.servers) {
            totals& sum = server_totals_[share.server];
            sum.calls += share.calls;
            sum.backlog_tokens += share.backlog_tokens;
        }
    }
}

} // namespace oriolefall::dispatch

#include "oriolefall/dispatch/fleet_load.hpp"

#include <algorithm>

namespace oriolefall::dispatch {

namespace {

/// After this time an instance that fell silent no longer counts.
constexpr absl::Duration report_lifetime = absl::Milliseconds(900);

} // namespace

void fleet_load::hear(absl::Time now, const core::instance_id& from,
                      const load_report& report)
{
    reports_.insert_or_assign(from, heard{report, now});
    add_up();
}

void fleet_load::refresh(absl::Time now)
{
    const auto dropped = std::erase_if(reports_, [now](const auto& each) {
        return now - each.second.at > report_lifetime;
    });
    if (dropped > 0)
        add_up();
}

fleet_load::sum
fleet_load::at_server(const core::backend_server_id& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? sum{} : found->second;
}

void fleet_load::add_up()
{
    servers_.clear();
    for (const auto& [from, each] : reports_) {
        for (const server_share& share : each.report.servers) {
            sum& total = servers_[share.server];
            total.calls += share.calls;
            total.backlog_tokens += share.backlog_tokens;
        }
    }
}

} // namespace oriolefall::dispatch

#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// True for refusals that more servers would have avoided.
bool is_for_lack_of_room(refusal cause)
{
    return cause == refusal::overloaded || cause == refusal::servers_limited ||
           cause == refusal::no_server || cause == refusal::time_over;
}

} // namespace

void dispatcher::record_run_began(open_request& request)
{
    if (std::exchange(request.has_run_begun, true))
        return;
    demand_.record_answer_begun(request.service);
    if (now_ - request.arrival_event.received_at >
        request.route->latency_target)
        record_late_answer(request);
    if (request.workspace != nullptr)
        actions_->push_back(run_began{request.workspace->name});
}

void dispatcher::record_late_answer(open_request& request)
{
    if (!std::exchange(request.is_late, true))
        demand_.record_late_answer(request.service);
}

void dispatcher::record_refused(const open_request& request, refusal cause)
{
    if (!request.has_run_begun && is_for_lack_of_room(cause))
        demand_.record_refused(request.service);
}

bool dispatcher::is_urgent(const open_request& request) const
{
    const auto found = urgent_priorities_.find(request.service);
    return found != urgent_priorities_.end() &&
           request.route->priority <= found->second;
}

void dispatcher::update_elastic_services()
{
    urgent_priorities_.clear();
    for (const routing::route& route : table_->settings().routes)
        for (const routing::route_target& target : route.targets) {
            const auto [found, is_new] =
                urgent_priorities_.try_emplace(target.service, route.priority);
            found->second = std::min(found->second, route.priority);
        }
    elastic_services_.clear();
    for (const routing::service& service : table_->settings().services)
        if (service.elastic)
            elastic_services_.push_back(service.name);
    if (elastic_services_.empty())
        next_demand_at_ = absl::InfiniteFuture();
    else if (next_demand_at_ == absl::InfiniteFuture())
        next_demand_at_ = now_ + settings_.demand_interval;
}

void dispatcher::send_demand()
{
    if (now_ < next_demand_at_)
        return;
    next_demand_at_ = now_ + settings_.demand_interval;
    actions_->push_back(report_demand{demand_.take(now_, elastic_services_)});
}

} // namespace oriolefall::dispatch

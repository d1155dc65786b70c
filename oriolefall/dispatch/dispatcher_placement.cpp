#include "oriolefall/dispatch/dispatcher.hpp"
#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <numeric>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Urgency that a server understands at most.
constexpr std::uint32_t least_urgent = 9;

bool contains(const std::vector<core::backend_server_id>& ids,
              const core::backend_server_id& id)
{
    return std::ranges::find(ids, id) != ids.end();
}

} // namespace

routing::service_name dispatcher::choose_service(const routing::route& route)
{
    const auto& targets = route.targets;
    const std::uint64_t sum =
        std::accumulate(targets.begin(), targets.end(), std::uint64_t{0},
                        [](std::uint64_t part, const auto& each) {
                            return part + each.weight;
                        });
    if (sum == 0)
        return targets.empty() ? routing::service_name()
                               : targets.front().service;
    std::uint64_t at = hooks_.random() % sum;
    const auto chosen = std::ranges::find_if(targets, [&at](const auto& each) {
        if (at < each.weight)
            return true;
        at -= each.weight;
        return false;
    });
    return chosen->service;
}

void dispatcher::place(open_request& request, refusal without_server)
{
    server_state* server = choose_server(request);
    if (server == nullptr)
        end(request, without_server);
    else
        send(request, *server);
}

bool dispatcher::may_repeat(const open_request& request) const
{
    if (request.route->is_stream)
        return request.route->resumable;
    return request.route->is_idempotent && !request.answer_begun;
}

bool dispatcher::place_again(open_request& request)
{
    if (request.tried.size() >= request.route->max_servers)
        return false;
    if (request.ends_at - now_ < settings_.least_time_for_repeat)
        return false;
    server_state* server = choose_server(request);
    if (server == nullptr || !budget_of(request.service).take(now_, instances_))
        return false;
    send(request, *server);
    return true;
}

bool dispatcher::is_candidate(const open_request& request,
                              const server_state& server) const
{
    const auto& entry = server.entry();
    if (entry.leaving || contains(request.tried, entry.id) ||
        contains(request.unreachable, entry.id))
        return false;
    if (server.is_on_probation() &&
        (server.is_ejected(now_) || server.own_calls() > 0))
        return false;
    return true;
}

server_state* dispatcher::choose_server(const open_request& request)
{
    const auto found = by_service_.find(request.service);
    if (found == by_service_.end())
        return nullptr;
    const auto* service = request.table->find_service(request.service);
    placement_facts facts;
    facts.prompt = request.facts.prompt;
    facts.is_engine = service != nullptr && service->engine.has_value();
    facts.body_bytes = request.facts.body_bytes;
    facts.here = settings_.here;
    facts.now = now_;

    const std::string key = std::to_string(home_key(facts.prompt));
    const server_state* home = nullptr;
    std::uint64_t home_weight = 0;
    for (const server_state* each : found->second) {
        const auto weight =
            membership::rendezvous_weight(key, each->entry().id.value());
        if (each->entry().leaving || (home != nullptr && weight < home_weight))
            continue;
        home = each;
        home_weight = weight;
    }

    server_state* best = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    const auto consider = [&](bool doubtful, bool ejected) {
        for (server_state* each : found->second) {
            const bool fits =
                ejected ? !each->entry().leaving &&
                              !contains(request.tried, each->entry().id) &&
                              !contains(request.unreachable, each->entry().id)
                        : is_candidate(request, *each);
            if (!fits || each->doubtful != doubtful)
                continue;
            const double cost = hooks_.cost(facts, *each, each == home);
            if (cost < best_cost) {
                best = each;
                best_cost = cost;
            }
        }
    };
    consider(false, false);
    if (best == nullptr)
        consider(true, false);
    // With none left, one that failed lately is better than a refusal.
    if (best == nullptr)
        consider(false, true);
    return best;
}

std::uint32_t dispatcher::connection_share(const open_request& request) const
{
    const auto* service = request.table->find_service(request.service);
    if (service == nullptr || service->connection_limit == 0)
        return std::numeric_limits<std::uint32_t>::max();
    return std::max(service->connection_limit / std::max(instances_, 1U), 2U);
}

void dispatcher::send(open_request& request, server_state& server)
{
    const auto& route = *request.route;
    const auto* service = request.table->find_service(request.service);
    const bool is_engine = service != nullptr && service->engine.has_value();

    open_call call;
    call.id = core::call_id(next_call_++);
    call.server = server.entry().id;
    call.sent_at = now_;
    call.tokens_to_read = tokens_to_read(request.facts.prompt, server);
    server.note_sent(call.tokens_to_read);
    if (is_engine)
        server.cache().note_read(request.facts.prompt);
    request.tried.push_back(call.server);

    send_call order;
    order.id = request.facts.id;
    order.call = call.id;
    order.server = call.server;
    order.endpoint = server.entry().endpoint;
    order.connection_limit = connection_share(request);
    if (request.workspace != nullptr)
        order.workspace = request.workspace->name;
    if (is_engine) {
        const auto own = request.workspace != nullptr
                             ? request.workspace->priority
                             : std::nullopt;
        order.priority = static_cast<int>(
            std::min(own.value_or(route.priority), least_urgent));
    }
    order.stop_at = request.facts.received +
                    std::min(route.time_limit, request.facts.patience);
    order.is_stream = route.is_stream;
    order.resumable = route.is_stream && route.resumable;
    order.hold_errors = may_repeat(request);
    note(request, "sent", false);
    out_->push_back(std::move(order));
    request.call = std::move(call);
}

} // namespace oriolefall::dispatch

#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <numeric>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// The least urgent priority that servers support.
constexpr std::uint32_t least_urgent = 9;
/// Number of route priorities within each workspace priority.
constexpr std::uint32_t route_priorities = 3;

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
                        [](std::uint64_t total, const auto& each) {
                            return total + each.weight;
                        });
    if (sum == 0)
        return targets.empty() ? routing::service_name()
                               : targets.front().service;
    std::uint64_t offset = hooks_.random() % sum;
    const auto chosen =
        std::ranges::find_if(targets, [&offset](const auto& each) {
            if (offset < each.weight)
                return true;
            offset -= each.weight;
            return false;
        });
    return chosen->service;
}

void dispatcher::place_request(open_request& request, refusal without_server)
{
    if (find_quarantine(request) != nullptr) {
        end_with_refusal(request, refusal::quarantined_prompt);
        return;
    }
    // A request that a server may have begun goes before new work.
    if (!request.may_have_run && request.tried.empty() &&
        uses_admission(request)) {
        admit_request(request, without_server);
        return;
    }
    if (const auto server = choose_server(request))
        send_to(request, *server);
    else
        refuse_without_server(request, without_server);
}

void dispatcher::refuse_without_server(open_request& request,
                                       refusal without_server)
{
    const bool is_limited = next_call_at(request) != absl::InfiniteFuture();
    end_with_refusal(request,
                     is_limited ? refusal::servers_limited : without_server);
}

bool dispatcher::may_retry(const open_request& request) const
{
    if (request.route->is_stream)
        return request.route->is_resumable;
    return request.route->is_idempotent && !request.has_answer_started;
}

std::optional<server_view>
dispatcher::choose_retry_server(const open_request& request)
{
    if (request.tried.size() >= request.route->max_servers ||
        request.deadline - now_ < settings_.min_time_for_retry ||
        find_quarantine(request) != nullptr)
        return std::nullopt;
    auto server = choose_server(request);
    if (!server ||
        !retry_budget_of(request.service).take(now_, instance_count_))
        return std::nullopt;
    return server;
}

bool dispatcher::try_retry(open_request& request)
{
    const auto server = choose_retry_server(request);
    if (!server)
        return false;
    send_to(request, *server);
    return true;
}

bool dispatcher::is_candidate(const open_request& request,
                              const server_state& server) const
{
    return is_eligible(request, server) && !is_ejected_or_probed(server);
}

bool dispatcher::is_ejected_or_probed(const server_state& server) const
{
    return server.is_on_probation() &&
           (server.is_ejected(now_) || server.own_calls() > 0);
}

bool dispatcher::is_eligible(const open_request& request,
                             const server_state& server) const
{
    return is_usable(request, server) &&
           now_ >= server.restriction.quiet_until &&
           server.limiter().may_send(now_);
}

absl::Time dispatcher::next_call_at(const open_request& request) const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto& [id, server] : servers_)
        if (server->entry().service == request.service &&
            is_usable(request, *server))
            next =
                std::min(next, std::max(server->restriction.quiet_until,
                                        server->limiter().next_call_at(now_)));
    return next;
}

bool dispatcher::is_usable(const open_request& request,
                           const server_state& server)
{
    const auto& entry = server.entry();
    return !entry.is_draining && !server.restriction.is_leaving &&
           !contains(request.tried, entry.id) &&
           !contains(request.unreachable, entry.id);
}

std::uint32_t dispatcher::server_priority(const open_request& request)
{
    const std::uint32_t by_workspace =
        request.workspace != nullptr ? request.workspace->priority.value_or(0)
                                     : 0;
    return priority_at_server(by_workspace, request.route->priority);
}

std::uint32_t dispatcher::priority_at_server(std::uint32_t workspace_priority,
                                             std::uint32_t route_priority)
{
    return std::min(workspace_priority * route_priorities +
                        std::min(route_priority, route_priorities - 1),
                    least_urgent);
}

placement_query dispatcher::make_query(const open_request& request)
{
    service_pool& pool = pool_of(request.service);
    placement_query query;
    query.prompt = request.arrival_event.prompt;
    query.is_engine = request.is_engine;
    query.body_bytes = request.arrival_event.body_bytes;
    query.own_region = settings_.own_region;
    query.now = now_;
    query.gap_target = request.route->gap_target;
    query.mean_prompt_tokens = pool.lengths().mean();
    query.length_rank = pool.lengths().rank_of(total_tokens(query.prompt));
    query.limited_availability = pool.limited_availability(now_);
    query.lane = pool.lanes().lane_of(*request.route);
    return query;
}

std::optional<server_view>
dispatcher::choose_server(const open_request& request)
{
    const placement_query query = make_query(request);
    const auto views =
        pool_of(request.service).views(query, peer_load_, hooks_.random());

    const server_view* best = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    const auto consider = [&](auto is_allowed) {
        for (const server_view& view : views) {
            if (!is_allowed(view.server))
                continue;
            const double cost = hooks_.cost(query, view);
            if (cost < best_cost) {
                best = &view;
                best_cost = cost;
            }
        }
    };
    consider([&](const server_state& server) {
        return !server.is_stale && is_candidate(request, server);
    });
    if (best == nullptr)
        consider([&](const server_state& server) {
            return is_candidate(request, server);
        });
    // Calling an ejected or probed server is better than refusing the request.
    if (best == nullptr)
        consider([&](const server_state& server) {
            return is_eligible(request, server);
        });
    if (best == nullptr)
        return std::nullopt;
    return *best;
}

std::uint32_t
dispatcher::connection_limit_share(const open_request& request) const
{
    const auto* service = request.table->find_service(request.service);
    if (service == nullptr || service->connection_limit == 0)
        return std::numeric_limits<std::uint32_t>::max();
    return std::max(service->connection_limit / std::max(instance_count_, 1U),
                    2U);
}

void dispatcher::set_stall_timeouts(const open_request& request,
                                    double expected_ms,
                                    send_call& outgoing) const
{
    const auto& route = *request.route;
    if (!may_retry(request) || request.tried.size() >= route.max_servers)
        return;
    // An engine without a first event is most likely waiting for its load. At
    // another engine the request would be queued last and its prompt would need
    // a second prefill.
    if (!request.is_engine)
        outgoing.first_event_timeout = std::max(
            absl::Milliseconds(expected_ms * settings_.stall_expected_factor),
            route.latency_target * settings_.stall_target_factor);
    if (route.is_stream)
        outgoing.gap_timeout =
            std::max(settings_.min_gap_timeout,
                     route.gap_target * settings_.gap_timeout_target_factor);
}

void dispatcher::send_to(open_request& request, const server_view& view)
{
    const auto& route = *request.route;
    server_state& server = *servers_.at(view.server.entry().id);

    open_call call;
    call.id = core::call_id(next_call_id_++);
    call.server = server.entry().id;
    call.server_started_at_ms = server.entry().started_at_ms;
    call.sent_at = now_;
    call.learned = view.learned;
    call.uncached_tokens = expected_uncached_tokens(
        settings_.placement, request.arrival_event.prompt, view);
    call.expected_ms =
        request.is_engine
            ? expected_first_event_ms(settings_.placement, view,
                                      call.uncached_tokens)
            : expected_plain_answer_ms(settings_.placement, view, now_);
    call.is_urgent = is_urgent(request);
    demand_.record_call_sent(now_, request.service, call.is_urgent);
    server.record_call_sent(call.uncached_tokens);
    server.limiter().record_call(now_);
    if (request.is_engine) {
        server.cache().record_prefill(request.arrival_event.prompt);
        record_engine_work(request, call.uncached_tokens);
    }
    request.tried.push_back(call.server);
    record_urgent_sent(request, call);

    send_call outgoing;
    outgoing.id = request.arrival_event.id;
    outgoing.call = call.id;
    outgoing.server = call.server;
    outgoing.server_started_at_ms = call.server_started_at_ms;
    outgoing.endpoint = server.entry().endpoint;
    outgoing.connection_limit = connection_limit_share(request);
    if (request.workspace != nullptr)
        outgoing.workspace = request.workspace->name;
    if (request.is_engine)
        outgoing.priority = static_cast<int>(server_priority(request));
    outgoing.deadline =
        request.arrival_event.received_at +
        std::min(route.request_timeout, request.arrival_event.caller_timeout);
    outgoing.is_stream = route.is_stream;
    outgoing.holds_error_answers = may_retry(request);
    set_stall_timeouts(request, call.expected_ms, outgoing);
    actions_->push_back(std::move(outgoing));
    request.call = std::move(call);
    log_sent(request, view);
}

} // namespace oriolefall::dispatch

#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <numeric>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Urgency that a server understands at most.
constexpr std::uint32_t least_urgent = 9;
/// Priorities of routes within one priority of workspaces.
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
    const auto server = choose_server(request);
    if (!server)
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

std::optional<server_view>
dispatcher::choose_for_repeat(const open_request& request)
{
    if (request.tried.size() >= request.route->max_servers ||
        request.ends_at - now_ < settings_.least_time_for_repeat)
        return std::nullopt;
    auto server = choose_server(request);
    if (!server || !budget_of(request.service).take(now_, instances_))
        return std::nullopt;
    return server;
}

bool dispatcher::place_again(open_request& request)
{
    const auto server = choose_for_repeat(request);
    if (!server)
        return false;
    send(request, *server);
    return true;
}

bool dispatcher::is_candidate(const open_request& request,
                              const server_state& server) const
{
    const bool is_left_out =
        server.is_on_probation() &&
        (server.is_ejected(now_) || server.own_calls() > 0);
    return is_usable(request, server) && !is_left_out;
}

bool dispatcher::is_usable(const open_request& request,
                           const server_state& server)
{
    const auto& entry = server.entry();
    return !entry.leaving && !contains(request.tried, entry.id) &&
           !contains(request.unreachable, entry.id);
}

std::uint32_t dispatcher::urgency_of(const open_request& request)
{
    const std::uint32_t by_route =
        std::min(request.route->priority, route_priorities - 1);
    const std::uint32_t by_workspace =
        request.workspace != nullptr ? request.workspace->priority.value_or(0)
                                     : 0;
    return std::min(by_workspace * route_priorities + by_route, least_urgent);
}

std::optional<server_view>
dispatcher::choose_server(const open_request& request)
{
    service_pool& pool = pool_of(request.service);
    placement_facts facts;
    facts.prompt = request.facts.prompt;
    facts.is_engine = request.is_engine;
    facts.body_bytes = request.facts.body_bytes;
    facts.here = settings_.here;
    facts.now = now_;
    const auto views = pool.views(facts.prompt, others_);

    const server_view* best = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    const auto consider = [&](auto fits) {
        for (const server_view& view : views) {
            if (!fits(view.server))
                continue;
            const double cost = hooks_.cost(facts, view);
            if (cost < best_cost) {
                best = &view;
                best_cost = cost;
            }
        }
    };
    consider([&](const server_state& server) {
        return !server.doubtful && is_candidate(request, server);
    });
    if (best == nullptr)
        consider([&](const server_state& server) {
            return is_candidate(request, server);
        });
    // With none left, one that failed lately is better than a refusal.
    if (best == nullptr)
        consider([&](const server_state& server) {
            return is_usable(request, server);
        });
    if (best == nullptr)
        return std::nullopt;
    return *best;
}

std::uint32_t dispatcher::connection_share(const open_request& request) const
{
    const auto* service = request.table->find_service(request.service);
    if (service == nullptr || service->connection_limit == 0)
        return std::numeric_limits<std::uint32_t>::max();
    return std::max(service->connection_limit / std::max(instances_, 1U), 2U);
}

void dispatcher::set_silence_limits(const open_request& request,
                                    double expected_ms, send_call& order) const
{
    const auto& route = *request.route;
    if (!may_repeat(request) || request.tried.size() >= route.max_servers)
        return;
    // An engine that has not begun waits for its load most likely: elsewhere
    // the request would be last in the queue, and its prompt read once more.
    if (!request.is_engine)
        order.first_limit = std::max(
            absl::Milliseconds(expected_ms * settings_.silent_times_expected),
            route.goal * settings_.silent_part_of_goal);
    if (route.is_stream)
        order.gap_limit =
            std::max(settings_.least_silent_gap,
                     route.gap_goal * settings_.silent_times_gap_goal);
}

void dispatcher::send(open_request& request, const server_view& view)
{
    const auto& route = *request.route;
    server_state& server = *servers_.at(view.server.entry().id);

    open_call call;
    call.id = core::call_id(next_call_++);
    call.server = server.entry().id;
    call.sent_at = now_;
    call.tokens_to_read =
        expected_to_read(settings_.placement, request.facts.prompt, view);
    call.expected_ms =
        request.is_engine
            ? expected_first_event(settings_.placement, view,
                                   call.tokens_to_read)
            : expected_plain_answer(settings_.placement, view, now_);
    server.note_sent(call.tokens_to_read);
    if (request.is_engine)
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
    if (request.is_engine)
        order.priority = static_cast<int>(urgency_of(request));
    order.stop_at = request.facts.received +
                    std::min(route.time_limit, request.facts.patience);
    order.is_stream = route.is_stream;
    order.hold_errors = may_repeat(request);
    set_silence_limits(request, call.expected_ms, order);
    out_->push_back(std::move(order));
    request.call = std::move(call);
    note_sent(request, view);
}

} // namespace oriolefall::dispatch

#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolefall::dispatch {

namespace {

constexpr double permille = 1000;
/// Longest time that a report is assumed to take to another instance; half of
/// it is added to the age of what it holds.
constexpr absl::Duration max_transit_time = absl::Milliseconds(20);
/// Older observations of other instances are ignored.
constexpr absl::Duration max_observation_age = absl::Seconds(5);
/// The load of peers is applied at this interval at most, since an instance
/// with a hundred links hears hundreds of reports a second.
constexpr absl::Duration peer_load_interval = absl::Milliseconds(50);

std::optional<double> from_permille(std::uint32_t value)
{
    return value == 0 ? std::nullopt : std::optional(value / permille);
}

std::uint32_t to_permille(const std::optional<double>& value)
{
    return static_cast<std::uint32_t>(
        std::lround(permille * value.value_or(0)));
}

} // namespace

void dispatcher::update_capacity_learning()
{
    for (auto& [name, pool] : pools_) {
        const auto* service = table_ ? table_->find_service(name) : nullptr;
        if (settings_.protects_servers ||
            (service != nullptr && service->elastic))
            pool.set_learns_capacity();
    }
}

void dispatcher::apply_work_figure(const server_state& server,
                                   const server_notice& notice)
{
    if (notice.load && notice.load->work_percent > 0 &&
        !server.learns_capacity())
        pool_of(server.entry().service).set_learns_capacity();
}

void dispatcher::apply_peer_loads()
{
    if (now_ < next_peer_load_at_ ||
        peer_load_.revision() == applied_peer_load_)
        return;
    next_peer_load_at_ = now_ + peer_load_interval;
    applied_peer_load_ = peer_load_.revision();
    for (auto& [id, server] : servers_) {
        if (!server->learns_capacity())
            continue;
        const auto reported = peer_load_.at_server(id);
        server->set_peer_load(reported.calls, reported.backlog_tokens);
    }
}

void dispatcher::apply_observations(const load_report& report)
{
    for (const server_observation& each : report.observations) {
        const auto found = servers_.find(each.server);
        const absl::Duration age = absl::Milliseconds(each.age_ms);
        if (found == servers_.end() || !found->second->learns_capacity() ||
            age > max_observation_age)
            continue;
        const absl::Time heard_at = now_ - age - max_transit_time / 2;
        found->second->update_heard_load(heard_at,
                                         {each.running, each.waiting});
        peer_capacity observed;
        observed.observed_at = heard_at;
        observed.time_scale = from_permille(each.time_scale_permille);
        if (each.call_limit > 0)
            observed.call_limit = each.call_limit;
        found->second->capacity().record_peer(observed);
    }
}

std::vector<server_observation> dispatcher::make_observations()
{
    std::vector<const server_state*> heard;
    for (const auto& [id, server] : servers_)
        if (server->learns_capacity() && server->heard_load() &&
            server->heard_load_at() > observations_sent_at_)
            heard.push_back(server.get());
    const auto count = std::min(heard.size(), max_server_observations);
    std::ranges::partial_sort(
        heard, heard.begin() + static_cast<std::ptrdiff_t>(count),
        std::greater(), &server_state::heard_load_at);
    heard.resize(count);
    observations_sent_at_ = now_;

    std::vector<server_observation> observations;
    for (const server_state* each : heard) {
        const auto own = each->capacity().own_observation(now_);
        const absl::Duration age = now_ - each->heard_load_at();
        observations.push_back(
            {each->entry().id, each->heard_load()->running,
             each->heard_load()->waiting, to_permille(own.time_scale),
             static_cast<std::uint32_t>(own.call_limit.value_or(0)),
             static_cast<std::uint32_t>(absl::ToInt64Milliseconds(age))});
    }
    return observations;
}

std::vector<capacity_record> dispatcher::capacity_records() const
{
    std::vector<capacity_record> records;
    for (const auto& [name, pool] : pools_)
        if (pool.learns_capacity())
            records.push_back({name, pool.summarize_capacity(now_)});
    return records;
}

void dispatcher::set_initial_scale(server_state& added)
{
    const service_pool& pool = pool_of(added.entry().service);
    if (pool.learns_capacity())
        added.capacity().set_initial_scale(pool.mean_slow_scale(now_));
}

server_state* dispatcher::learning_server_of(const open_request& request)
{
    server_state* server = server_of(request);
    const bool is_learned =
        server != nullptr && server->learns_capacity() &&
        request.call->learned.has_value() &&
        server->entry().started_at_ms == request.call->server_started_at_ms;
    return is_learned ? server : nullptr;
}

void dispatcher::record_learned_timeout(const open_request& request)
{
    if (server_state* server = learning_server_of(request))
        server->capacity().record_late(now_, request.call->learned->calls + 1);
}

void dispatcher::record_learned_first_event(const open_request& request)
{
    server_state* server = learning_server_of(request);
    if (server == nullptr)
        return;
    const open_call& call = *request.call;
    first_event event;
    event.nominal_ms = call.expected_ms / call.learned->time_scale;
    event.measured_ms = absl::ToDoubleMilliseconds(now_ - call.sent_at);
    event.nominal_prompt_ms =
        call.uncached_tokens / settings_.placement.prefill_tokens_per_ms;
    event.calls = call.learned->calls + 1;
    event.target = request.route->latency_target;
    server->capacity().record_first_event(now_, event);
}

void dispatcher::record_learned_stream(const open_request& request,
                                       const call_completed& event)
{
    server_state* server = learning_server_of(request);
    if (server == nullptr)
        return;
    const open_call& call = *request.call;
    finished_stream stream;
    stream.calls_at_start = call.learned->calls + 1;
    stream.calls_at_end = server->estimated_calls(now_);
    stream.duration = now_ - call.sent_at;
    if (request.is_engine) {
        stream.longest_gap = event.longest_gap;
        stream.gap_target = request.route->gap_target;
        if (event.events > 1)
            stream.mean_gap =
                std::min((now_ - call.answer_started_at) / (event.events - 1),
                         event.longest_gap);
    } else {
        // The only pause of a plain answer is the time until it is there.
        stream.longest_gap = stream.duration;
        stream.mean_gap = stream.duration;
        stream.gap_target = request.route->latency_target;
    }
    server->capacity().record_stream(now_, stream);
}

} // namespace oriolefall::dispatch

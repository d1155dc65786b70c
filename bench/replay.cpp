#include "bench/replay.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace oriolefall::bench {

namespace {

/// How long the platform takes to answer a claim.
constexpr absl::Duration claim_time = absl::Milliseconds(5);
/// What a server that refuses asks its callers to wait.
constexpr absl::Duration refusal_wait = absl::Seconds(1);
/// A replay goes on this long after its last arrival.
constexpr absl::Duration settling_time = absl::Minutes(10);
constexpr std::uint64_t bytes_per_token = 6;
constexpr std::size_t samples_kept = 64;

std::string key_name(const core::workspace_id& workspace,
                     const core::idempotency_key& key)
{
    return workspace.value() + '/' + key.value();
}

} // namespace

replay::replay(const trace& replayed, replay_policy policy, std::uint64_t seed)
    : trace_(replayed), policy_(std::move(policy)), seed_(seed)
{
    for (const trace_server& server : trace_.header.servers)
        add_server(server);
    result_.outcomes.resize(trace_.arrivals.size());
    requests_.resize(trace_.arrivals.size());
    const absl::Duration last = trace_.arrivals.empty()
                                    ? absl::ZeroDuration()
                                    : trace_.arrivals.back().at;
    end_ = absl::UnixEpoch() + last + settling_time;
}

replay_result replay::run()
{
    apply_table();
    plan_trace();
    report_loads();
    clock_.run_until(end_);
    for (reached_server& server : servers_) {
        std::ranges::move(server.model.take_ended(), std::back_inserter(work_));
        std::ranges::move(server.model.open_calls(), std::back_inserter(work_));
    }
    std::ranges::for_each(work_, [this](const auto& each) { account(each); });
    for (const auto& [key, runs] : runs_)
        result_.duplicate_runs += runs - 1;
    return std::move(result_);
}

void replay::give(const decision::event& event)
{
    std::vector<decision::action> out;
    policy_.step(clock_.now(), event, out);
    for (const decision::action& each : out)
        std::visit([this](const auto& some) { carry_out(some); }, each);
    plan_tick();
}

void replay::plan_tick()
{
    const absl::Time next = policy_.next_tick();
    if (next >= planned_tick_ || next == absl::InfiniteFuture())
        return;
    planned_tick_ = std::max(next, clock_.now());
    clock_.at(planned_tick_, [this, planned = planned_tick_] {
        if (planned != planned_tick_)
            return;
        planned_tick_ = absl::InfiniteFuture();
        give(decision::tick{});
    });
}

void replay::carry_out(const decision::start_call& order)
{
    call_run call;
    call.request = order.request.value() - 1;
    call.server = server_indices_.at(order.server.value());
    call.order = order;
    call.last_byte = clock_.now();
    call.tokens = order.resume_from;
    reached_server& server = servers_[call.server];
    if (server.far)
        result_.paid_bytes += requests_[call.request].arrival->body_bytes;
    calls_.emplace(order.call, call);
    clock_.at(clock_.now() + server.delay,
              [this, id = order.call] { submit(id); });
    watch_silence(order.call);
    clock_.at(order.deadline, [this, id = order.call] {
        end_call(id, core::may_have_run{core::reason::deadline_passed});
    });
}

void replay::watch_silence(core::call_id call)
{
    const call_run& run = calls_.at(call);
    if (run.ended || run.order.gap_timeout == absl::InfiniteDuration())
        return;
    const absl::Time limit = run.last_byte + run.order.gap_timeout;
    if (limit <= clock_.now()) {
        end_call(call, core::may_have_run{core::reason::connection_silent});
        return;
    }
    clock_.at(limit, [this, call] { watch_silence(call); });
}

void replay::carry_out(const decision::cancel_call& order)
{
    clock_.at(clock_.now(), [this, call = order.call] {
        end_call(call, core::may_have_run{core::reason::caller_gone});
    });
}

void replay::carry_out(const decision::claim_key& order)
{
    clock_.at(clock_.now() + claim_time, [this, order] {
        const auto [found, added] =
            claims_.try_emplace(key_name(order.workspace, order.key));
        claimed_key& held = found->second;
        auto outcome = decision::claim_outcome::granted;
        if (!added && held.in_progress)
            outcome = decision::claim_outcome::in_progress;
        else if (!added && !std::holds_alternative<core::not_run>(held.outcome))
            outcome = decision::claim_outcome::ran;
        if (outcome == decision::claim_outcome::granted)
            held.in_progress = true;
        give(decision::key_claimed{order.request, outcome});
    });
}

void replay::carry_out(const decision::record_outcome& order)
{
    claims_[key_name(order.workspace, order.key)] =
        claimed_key{false, order.verdict};
}

void replay::carry_out(const decision::finish_request& order)
{
    request_outcome& outcome = result_.outcomes[order.request.value() - 1];
    outcome.verdict = order.verdict;
    outcome.ended_at = clock_.now() - absl::UnixEpoch();
}

void replay::end_call(core::call_id call, const core::verdict& verdict,
                      absl::Duration retry_after)
{
    call_run& run = calls_.at(call);
    if (run.ended)
        return;
    run.ended = true;
    run.ran = std::holds_alternative<core::ran>(verdict);
    reached_server& server = servers_[run.server];
    if (!run.ran)
        clock_.at(clock_.now() + server.delay, [this, call, &server] {
            server.model.cancel(call);
            static_cast<void>(this);
        });
    give(decision::call_ended{call, verdict, run.tokens, retry_after});
}

void replay::add_server(const trace_server& server)
{
    const std::size_t index = servers_.size();
    server_indices_.emplace(server.server.id.value(), index);
    reached_server& added =
        servers_.emplace_back(replay_server(server, seed_ * 1000 + index));
    added.far = server.server.location.region != trace_.header.location.region;
    added.delay =
        added.far ? trace_.header.region_delay : trace_.header.domain_delay;
}

void replay::submit(core::call_id call)
{
    const call_run& run = calls_.at(call);
    if (run.ended)
        return;
    reached_server& server = servers_[run.server];
    const absl::Time answered = clock_.now() + server.delay;
    if (server.cuts > 0) {
        clock_.at(answered, [this, call] {
            end_call(call, core::not_run{core::reason::connect_failed});
        });
        return;
    }
    const trace_arrival& arrival = *requests_[run.request].arrival;
    const bool taken = server.model.submit(
        clock_.now(), server_call{.call = call,
                                  .priority = run.order.priority,
                                  .prompt_tokens = arrival.prompt_tokens,
                                  .output_tokens = arrival.output_tokens,
                                  .resume_from = run.order.resume_from,
                                  .prefix = prefix_hash(arrival.prefix),
                                  .prefix_tokens = arrival.prefix_tokens});
    if (!taken) {
        clock_.at(answered, [this, call] {
            end_call(call, core::not_run{core::reason::backend_refused},
                     refusal_wait);
        });
        return;
    }
    if (arrival.key)
        ++runs_[key_name(arrival.workspace, *arrival.key)];
    plan_server(run.server);
}

void replay::plan_server(std::size_t server)
{
    reached_server& reached = servers_[server];
    const absl::Time next = reached.model.next();
    if (next == reached.planned)
        return;
    reached.planned = next;
    clock_.at(next, [this, server, next] {
        if (servers_[server].planned == next)
            advance_server(server);
    });
}

void replay::advance_server(std::size_t server)
{
    reached_server& reached = servers_[server];
    reached.planned = absl::InfiniteFuture();
    std::vector<server_progress> shown = reached.model.advance(clock_.now());
    std::erase_if(shown, &server_progress::silent);
    if (reached.cuts == 0 && !shown.empty())
        clock_.at(clock_.now() + reached.delay,
                  [this, server, shown] { show(server, shown); });
    plan_server(server);
}

void replay::show(std::size_t server, const std::vector<server_progress>& shown)
{
    for (const server_progress& each : shown) {
        call_run& run = calls_.at(each.call);
        if (run.ended)
            continue;
        const std::uint64_t added =
            each.tokens - std::min(each.tokens, run.tokens);
        run.tokens = std::max(run.tokens, each.tokens);
        run.last_byte = clock_.now();
        if (servers_[server].far)
            result_.paid_bytes += added * bytes_per_token;
        request_outcome& outcome = result_.outcomes[run.request];
        const absl::Duration now = clock_.now() - absl::UnixEpoch();
        outcome.first_token_at = std::min(outcome.first_token_at, now);
        outcome.last_token_at = now;
        if (each.tokens > 0)
            give(decision::call_progressed{each.call, each.tokens});
        if (each.whole)
            end_call(each.call, core::ran{each.tokens});
    }
}

void replay::cut(reached_server& server)
{
    for (const core::call_id call : server.model.crash()) {
        const bool silent = calls_.at(call).ended;
        if (!silent)
            clock_.at(clock_.now() + server.delay, [this, call] {
                end_call(call,
                         core::may_have_run{core::reason::connection_lost});
            });
    }
    server.planned = absl::InfiniteFuture();
}

void replay::report_loads()
{
    for (reached_server& server : servers_)
        report_load(server);
    clock_.at(clock_.now() + trace_.header.report_interval,
              [this] { report_loads(); });
}

void replay::report_load(reached_server& server)
{
    const absl::Time now = clock_.now();
    server.samples.push_back(
        load_sample{now, server.model.running(), server.model.queued()});
    if (server.samples.size() > samples_kept)
        server.samples.pop_front();
    if (server.cuts > 0)
        return;
    const auto newer = [&](const load_sample& each) {
        return each.at > now - server.lag;
    };
    const auto after = std::ranges::find_if(server.samples, newer);
    load_sample sample =
        after == server.samples.begin() ? *after : *std::prev(after);
    if (server.lie)
        sample = load_sample{now, *server.lie, 0};
    const core::backend_server_id id = server.model.server().id;
    clock_.at(now + server.delay, [this, id, sample] {
        give(decision::load_reported{.server = id,
                                     .running = sample.running,
                                     .queued = sample.queued,
                                     .age = clock_.now() - sample.at});
    });
}

void replay::account(const server_call& call)
{
    const call_run& run = calls_.at(call.call);
    request_outcome& outcome = result_.outcomes[run.request];
    outcome.work += call.work;
    // A broken call was of use when its tokens reached the caller.
    const bool useful = run.ran || run.tokens > run.order.resume_from;
    if (!useful)
        outcome.wasted += call.work;
    else if (run.order.resume_from > 0)
        outcome.wasted += call.prompt_work;
}

void replay::plan_trace()
{
    for (std::size_t i = 0; i < trace_.arrivals.size(); ++i) {
        result_.outcomes[i].arrival = i;
        requests_[i].arrival = &trace_.arrivals[i];
        const absl::Duration gone = trace_.arrivals[i].gone_at;
        clock_.at(absl::UnixEpoch() + trace_.arrivals[i].at,
                  [this, i] { arrive(i); });
        clock_.at(absl::UnixEpoch() + gone, [this, i] {
            if (!result_.outcomes[i].verdict)
                give(decision::caller_gone{core::request_id(i + 1)});
        });
    }
    for (const trace_fault& fault : trace_.faults) {
        clock_.at(absl::UnixEpoch() + fault.at,
                  [this, &fault] { begin(fault); });
        clock_.at(absl::UnixEpoch() + fault.until,
                  [this, &fault] { end(fault); });
    }
}

void replay::arrive(std::size_t arrival)
{
    give(decision::request_arrived{
        to_request(trace_.arrivals[arrival], core::request_id(arrival + 1))});
}

replay::reached_server& replay::server_of(const trace_fault& fault)
{
    return servers_[server_indices_.at(fault.server.value())];
}

void replay::begin(const trace_fault& fault)
{
    switch (fault.kind) {
    case fault_kind::straggler:
        server_of(fault).model.set_factor(fault.factor);
        break;
    case fault_kind::crash:
    case fault_kind::region_cut:
        set_cut(fault, true);
        break;
    case fault_kind::silent:
        server_of(fault).model.silence();
        break;
    case fault_kind::lying_load:
        server_of(fault).lie = fault.running;
        break;
    case fault_kind::lagging_load:
        server_of(fault).lag = fault.lag;
        break;
    case fault_kind::other_load:
        server_of(fault).model.set_others(fault.running);
        break;
    case fault_kind::refusing:
        server_of(fault).model.set_refusing(true);
        break;
    case fault_kind::server_leaving:
        apply_table();
        break;
    case fault_kind::server_arriving:
        add_server(*fault.arriving);
        apply_table();
        break;
    }
}

void replay::end(const trace_fault& fault)
{
    switch (fault.kind) {
    case fault_kind::straggler:
        server_of(fault).model.set_factor(1.0);
        break;
    case fault_kind::crash:
    case fault_kind::region_cut:
        set_cut(fault, false);
        break;
    case fault_kind::lying_load:
        server_of(fault).lie.reset();
        break;
    case fault_kind::lagging_load:
        server_of(fault).lag = absl::ZeroDuration();
        break;
    case fault_kind::other_load:
        server_of(fault).model.set_others(0);
        break;
    case fault_kind::refusing:
        server_of(fault).model.set_refusing(false);
        break;
    case fault_kind::silent:
    case fault_kind::server_leaving:
    case fault_kind::server_arriving:
        break;
    }
}

void replay::set_cut(const trace_fault& fault, bool is_cut)
{
    for (reached_server& server : servers_) {
        const core::backend_server& each = server.model.server();
        const bool meant = fault.kind == fault_kind::region_cut
                               ? each.location.region == fault.region
                               : each.id == fault.server;
        if (!meant)
            continue;
        if (!is_cut)
            --server.cuts;
        else if (server.cuts++ == 0)
            cut(server);
    }
}

void replay::apply_table()
{
    auto table = std::make_shared<decision::routing_table>();
    table->version = ++table_version_;
    table->classes = trace_.header.classes;
    for (const reached_server& server : servers_)
        table->servers.push_back(server.model.server());
    const absl::Duration now = clock_.now() - absl::UnixEpoch();
    for (const trace_fault& fault : trace_.faults) {
        if (fault.kind != fault_kind::server_leaving || fault.at > now)
            continue;
        const auto found = std::ranges::find(table->servers, fault.server,
                                             &core::backend_server::id);
        found->leaving = true;
    }
    give(decision::table_applied{std::move(table)});
}

} // namespace oriolefall::bench

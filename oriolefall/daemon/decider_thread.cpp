#include "oriolefall/daemon/decider_thread.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <cassert>
#include <memory>
#include <utility>

namespace oriolefall::daemon {

namespace {

/// Events taken from the ring under one lock.
constexpr std::size_t batch_size = 256;
constexpr absl::Duration no_room_retry = absl::Milliseconds(100);

} // namespace

decider_thread::decider_thread(const decider_thread_settings& settings,
                               decision::routing_table_ptr table)
    : ring_(settings.ring_capacity), decider_(settings.decider),
      table_(std::make_shared<const decision::routing_table>()),
      started_(core::monotonic_now())
{
    ring_.try_push(decision::event(decision::table_applied{std::move(table)}));
}

decider_thread::~decider_thread()
{
    stop();
}

void decider_thread::start(action_hooks hooks)
{
    assert(!thread_);
    hooks_ = std::move(hooks);
    thread_.emplace("decider", [this] { run(); });
}

void decider_thread::stop()
{
    ring_.close();
    thread_.reset();
}

std::optional<core::reason> decider_thread::submit(front::submission submission)
{
    if (ring_.try_push(std::move(submission)))
        return std::nullopt;
    return core::reason::ring_full;
}

void decider_thread::hint(decision::event event)
{
    ring_.try_push(std::move(event));
}

void decider_thread::tell(decision::event event)
{
    ring_.push(std::move(event));
}

std::size_t decider_thread::open_requests() const
{
    return open_;
}

void decider_thread::run()
{
    std::vector<inbound> batch;
    while (ring_.pop_some(batch, batch_size,
                          core::to_steady(decider_.next_tick()))) {
        for (inbound& one : batch)
            std::visit([this](auto& some) { take(std::move(some)); }, one);
        batch.clear();
        if (core::monotonic_now() >= decider_.next_tick())
            take(decision::event(decision::tick{}));
    }
}

void decider_thread::take(front::submission&& submission)
{
    const core::request request = submission.request;
    const auto known = std::ranges::find(table_->classes, request.service_class,
                                         &core::service_class::name);
    std::optional<core::service_class> service_class;
    if (known != table_->classes.end())
        service_class = *known;
    exchanges_.emplace(request.id,
                       exchange(std::move(submission), std::move(service_class),
                                core::monotonic_now()));
    open_ = exchanges_.size();
    take(decision::event(decision::request_arrived{request}));
}

void decider_thread::take(decision::event&& event)
{
    step(event);
    drain_own_events();
}

void decider_thread::drain_own_events()
{
    while (!own_events_.empty()) {
        const decision::event next = std::move(own_events_.front());
        own_events_.pop_front();
        step(next);
    }
}

void decider_thread::before(const decision::event& event)
{
    const absl::Time now = core::monotonic_now();
    const auto progress = [&](core::call_id call, std::uint64_t tokens) {
        const auto found = calls_.find(call);
        if (found == calls_.end())
            return;
        const auto open = exchanges_.find(found->second);
        if (open != exchanges_.end())
            open->second.progressed(tokens, now);
    };
    if (const auto* progressed = std::get_if<decision::call_progressed>(&event))
        progress(progressed->call, progressed->tokens);
    if (const auto* ended = std::get_if<decision::call_ended>(&event)) {
        progress(ended->call, ended->tokens);
        calls_.erase(ended->call);
    }
    if (const auto* applied = std::get_if<decision::table_applied>(&event)) {
        if (applied->table->version < table_->version)
            return;
        table_ = applied->table;
        server_index_.clear();
        for (std::size_t i = 0; i < table_->servers.size(); ++i)
            server_index_.emplace(table_->servers[i].id, i);
    }
}

void decider_thread::step(const decision::event& event)
{
    before(event);
    actions_.clear();
    decider_.step(core::monotonic_now(), event, actions_);
    for (const decision::action& action : actions_)
        std::visit([this](const auto& some) { act(some); }, action);
}

void decider_thread::act(const decision::start_call& action)
{
    const auto open = exchanges_.find(action.request);
    const core::backend_server* server = find_server(action.server);
    auto ended = make_ended();
    const bool possible =
        open != exchanges_.end() && server != nullptr && ended != nullptr;
    if (possible) {
        open->second.call_started(action.server);
        calls_.emplace(action.call, action.request);
        const front::submission& from = open->second.submission();
        if (hooks_.start_call({action, *server, from.payload, from.request.key,
                               from.answers, std::move(ended)}))
            return;
    }
    own_events_.push_back(
        decision::call_ended{.call = action.call,
                             .verdict = core::not_run{core::reason::ring_full},
                             .tokens = action.resume_from,
                             .retry_after = no_room_retry});
}

void decider_thread::act(const decision::cancel_call& action)
{
    hooks_.cancel_call(action.call);
}

void decider_thread::act(const decision::claim_key& action)
{
    if (!hooks_.claim_key(action))
        own_events_.push_back(decision::key_claimed{
            action.request, decision::claim_outcome::unavailable});
}

void decider_thread::act(const decision::record_outcome& action)
{
    hooks_.record_outcome(action);
}

void decider_thread::act(const decision::finish_request& action)
{
    const auto open = exchanges_.find(action.request);
    assert(open != exchanges_.end());
    hooks_.tell(open->second.finish(action.verdict, action.retry_after,
                                    core::monotonic_now()));
    exchanges_.erase(open);
    open_ = exchanges_.size();
}

void decider_thread::act(const decision::record_decision& action)
{
    hooks_.tell(
        observe::decision_step{core::monotonic_now() - started_, action});
}

std::function<void(const decision::call_ended&)> decider_thread::make_ended()
{
    auto place = ring_.try_reserve();
    if (!place)
        return nullptr;
    const auto shared =
        std::make_shared<inbound_ring::reservation>(std::move(*place));
    return [shared](const decision::call_ended& end) {
        shared->fill(decision::event(end));
    };
}

const core::backend_server*
decider_thread::find_server(const core::backend_server_id& id) const
{
    const auto found = server_index_.find(id);
    return found == server_index_.end() ? nullptr
                                        : &table_->servers[found->second];
}

} // namespace oriolefall::daemon

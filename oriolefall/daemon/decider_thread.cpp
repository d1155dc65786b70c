#include "oriolefall/daemon/decider_thread.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <cassert>
#include <memory>
#include <utility>

namespace oriolefall::daemon {

namespace {

/// Maximum number of events taken from the ring under one lock.
constexpr std::size_t batch_size = 256;
constexpr absl::Duration ring_full_retry_after = absl::Milliseconds(100);

} // namespace

decider_thread::decider_thread(const decider_thread_settings& settings,
                               decision::routing_table_ptr table)
    : ring_(settings.ring_capacity), decider_(settings.decider),
      table_(std::make_shared<const decision::routing_table>()),
      started_at_(core::monotonic_now())
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

void decider_thread::try_post(decision::event event)
{
    ring_.try_push(std::move(event));
}

void decider_thread::post(decision::event event)
{
    ring_.push(std::move(event));
}

std::size_t decider_thread::open_requests() const
{
    return open_requests_;
}

void decider_thread::run()
{
    std::vector<inbound> batch;
    while (ring_.pop_some(batch, batch_size,
                          core::to_steady(decider_.next_tick()))) {
        for (inbound& item : batch)
            std::visit([this](auto& input) { handle(std::move(input)); }, item);
        batch.clear();
        if (core::monotonic_now() >= decider_.next_tick())
            handle(decision::event(decision::tick{}));
    }
}

void decider_thread::handle(front::submission&& submission)
{
    const core::request request = submission.request;
    const auto found_class = std::ranges::find(
        table_->classes, request.service_class, &core::service_class::name);
    std::optional<core::service_class> service_class;
    if (found_class != table_->classes.end())
        service_class = *found_class;
    exchanges_.emplace(request.id,
                       exchange(std::move(submission), std::move(service_class),
                                core::monotonic_now()));
    open_requests_ = exchanges_.size();
    handle(decision::event(decision::request_arrived{request}));
}

void decider_thread::handle(decision::event&& event)
{
    step(event);
    process_pending_events();
}

void decider_thread::process_pending_events()
{
    while (!pending_events_.empty()) {
        const decision::event next = std::move(pending_events_.front());
        pending_events_.pop_front();
        step(next);
    }
}

void decider_thread::update_bookkeeping(const decision::event& event)
{
    const absl::Time now = core::monotonic_now();
    const auto record_progress = [&](core::call_id call, std::uint64_t tokens) {
        const auto found = calls_.find(call);
        if (found == calls_.end())
            return;
        const auto open = exchanges_.find(found->second);
        if (open != exchanges_.end())
            open->second.record_progress(tokens, now);
    };
    if (const auto* progressed = std::get_if<decision::call_progressed>(&event))
        record_progress(progressed->call, progressed->tokens);
    if (const auto* ended = std::get_if<decision::call_ended>(&event)) {
        record_progress(ended->call, ended->tokens);
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
    update_bookkeeping(event);
    actions_.clear();
    decider_.step(core::monotonic_now(), event, actions_);
    for (const decision::action& action : actions_)
        std::visit([this](const auto& chosen) { execute(chosen); }, action);
}

void decider_thread::execute(const decision::start_call& action)
{
    const auto open = exchanges_.find(action.request);
    const core::backend_server* server = find_server(action.server);
    auto ended = make_call_ended_hook();
    const bool is_startable =
        open != exchanges_.end() && server != nullptr && ended != nullptr;
    if (is_startable) {
        open->second.record_call(action.server);
        calls_.emplace(action.call, action.request);
        const front::submission& submission = open->second.submission();
        if (hooks_.start_call({action, *server, submission.payload,
                               submission.request.key, submission.answers,
                               std::move(ended)}))
            return;
    }
    pending_events_.push_back(
        decision::call_ended{.call = action.call,
                             .verdict = core::not_run{core::reason::ring_full},
                             .tokens = action.resume_from,
                             .retry_after = ring_full_retry_after});
}

void decider_thread::execute(const decision::cancel_call& action)
{
    hooks_.cancel_call(action.call);
}

void decider_thread::execute(const decision::claim_key& action)
{
    if (!hooks_.claim_key(action))
        pending_events_.push_back(decision::key_claimed{
            action.request, decision::claim_outcome::unavailable});
}

void decider_thread::execute(const decision::record_outcome& action)
{
    hooks_.record_outcome(action);
}

void decider_thread::execute(const decision::finish_request& action)
{
    const auto open = exchanges_.find(action.request);
    assert(open != exchanges_.end());
    hooks_.report(open->second.finish(action.verdict, action.retry_after,
                                      core::monotonic_now()));
    exchanges_.erase(open);
    open_requests_ = exchanges_.size();
}

void decider_thread::execute(const decision::record_decision& action)
{
    hooks_.report(
        observe::decision_step{core::monotonic_now() - started_at_, action});
}

std::function<void(const decision::call_ended&)>
decider_thread::make_call_ended_hook()
{
    auto reservation = ring_.try_reserve();
    if (!reservation)
        return nullptr;
    const auto shared =
        std::make_shared<inbound_ring::reservation>(std::move(*reservation));
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

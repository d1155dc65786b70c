#include "oriolefall/forward/forwarder.hpp"

#include "oriolefall/forward/exchange.hpp"
#include "oriolefall/net/acceptor.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <atomic>
#include <cassert>
#include <utility>
#include <vector>

namespace oriolefall::forward {

namespace {

constexpr int accept_backlog = 1024;
/// Maximum number of actions that wait for the forwarding thread.
constexpr std::size_t max_queued_actions = 8192;

} // namespace

class forwarder::event_loop
{
public:
    event_loop(forward_settings settings, protocol_hooks protocol,
               forwarder_hooks hooks)
        : settings_(std::move(settings)), protocol_(std::move(protocol)),
          hooks_(std::move(hooks)), body_budget_(settings_.max_request_bytes),
          acceptor_(context_),
          server_connections_(context_, settings_, hooks_.read_error),
          restrictions_(settings_.max_restricted_servers),
          actions_(max_queued_actions)
    {
    }

    error_code listen()
    {
        return net::open_acceptor(acceptor_, settings_.listen, accept_backlog);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        error_code ignored;
        return acceptor_.local_endpoint(ignored).port();
    }

    void run()
    {
        net::accept_connections(acceptor_, [this](tcp::socket socket) {
            if (callers_.size() < settings_.max_caller_connections)
                add_caller(std::move(socket));
        });
        const auto work_guard = asio::make_work_guard(context_);
        context_.run();
        give_up_requests();
        close_callers();
    }

    bool submit(dispatch::action action)
    {
        if (!actions_.try_push(std::move(action)))
            return false;
        if (!is_wakeup_pending_.exchange(true))
            asio::post(context_, [this] { execute_actions(); });
        return true;
    }

    void leave(bool closes_listener)
    {
        asio::post(context_, [this, closes_listener] {
            if (closes_listener) {
                error_code ignored;
                acceptor_.close(ignored);
            }
            is_leaving_ = true;
            const auto callers = callers_;
            for (const auto& each : callers)
                each->leave();
        });
    }

    void post_give_up()
    {
        asio::post(context_, [this] { give_up_requests(); });
    }

    void stop()
    {
        context_.stop();
    }

    [[nodiscard]] forward_counters counters() const
    {
        return {caller_count_.load(), open_request_count_.load(),
                connections_opened_.load()};
    }

private:
    using caller_ptr = std::shared_ptr<caller_connection>;
    using exchange_ptr = std::shared_ptr<exchange>;

    void add_caller(tcp::socket socket)
    {
        caller_hooks hooks;
        // The exchange of the open request; shared by this connection's hooks.
        const auto current = std::make_shared<exchange_ptr>();
        hooks.on_request = [this, current](caller_connection& caller,
                                           caller_request request) {
            start_exchange(caller, std::move(request), *current);
        };
        hooks.on_disconnected = [current] {
            if (const auto exchange = std::exchange(*current, nullptr))
                exchange->on_caller_disconnected();
        };
        hooks.on_drained = [current] {
            if (const auto exchange = *current)
                exchange->on_caller_drained();
        };
        hooks.on_closed = [this](caller_connection& closed) {
            callers_.erase(closed.shared_from_this());
            caller_count_ = callers_.size();
        };
        hooks.limits = hooks_.limits;
        hooks.read_error = hooks_.read_error;
        auto caller = std::make_shared<caller_connection>(
            std::move(socket), settings_, body_budget_, std::move(hooks));
        callers_.insert(caller);
        caller_count_ = callers_.size();
        caller->start();
        if (is_leaving_)
            caller->leave();
    }

    void start_exchange(caller_connection& caller, caller_request request,
                        exchange_ptr& current)
    {
        const core::request_id id(next_request_id_++);
        dispatch::arrival arrival = protocol_.read_request(request.message);
        arrival.id = id;
        arrival.received_at = request.received_at;
        arrival.body_bytes =
            static_cast<std::uint32_t>(request.message.body().size());
        const bool has_room =
            !is_refusing_ && exchanges_.size() < settings_.max_open_requests;
        current = std::make_shared<exchange>(
            id, std::move(request), caller.shared_from_this(),
            exchange::dependencies{
                context_, settings_, protocol_, server_connections_,
                restrictions_,
                [this](dispatch::event event) { report(std::move(event)); },
                [this, &current, keep_alive = caller.shared_from_this()](
                    core::request_id finished) {
                    remove_exchange(finished, current);
                }});
        exchanges_.emplace(id.value(), current);
        open_request_count_ = exchanges_.size();
        if (!has_room || !hooks_.report(std::move(arrival)))
            current->execute(dispatch::refuse{id, dispatch::refusal::overloaded,
                                              true, settings_.retry_after});
    }

    void report(dispatch::event event)
    {
        const bool may_be_dropped = dispatch::may_be_dropped(event);
        const bool is_accepted = hooks_.report(std::move(event));
        assert(is_accepted || may_be_dropped);
    }

    void remove_exchange(core::request_id id, exchange_ptr& current)
    {
        const auto found = exchanges_.find(id.value());
        if (found == exchanges_.end())
            return;
        if (current == found->second)
            current = nullptr;
        // One of its functions may still be on the call stack, so it is
        // destroyed later.
        asio::post(context_, [keep_alive = found->second] {});
        exchanges_.erase(found);
        open_request_count_ = exchanges_.size();
        connections_opened_ = server_connections_.opened_count();
    }

    void execute_actions()
    {
        is_wakeup_pending_ = false;
        std::vector<dispatch::action> batch;
        actions_.pop_some(batch, max_queued_actions,
                          std::chrono::steady_clock::time_point{});
        for (const dispatch::action& action : batch)
            std::visit([this](const auto& each) { execute(each); }, action);
    }

    template <class Action>
    void execute(const Action& action)
    {
        const auto found = exchanges_.find(action.id.value());
        if (found == exchanges_.end())
            return;
        const exchange_ptr exchange = found->second;
        exchange->execute(action);
    }

    // Other duties execute these actions.
    void execute(const dispatch::decision_record&) {}
    void execute(const dispatch::ejection_change&) {}
    void execute(const dispatch::quarantine_change&) {}
    void execute(const dispatch::rate_limit_change&) {}
    void execute(const dispatch::notice_record&) {}
    void execute(const dispatch::run_began&) {}
    void execute(const dispatch::report_demand&) {}
    void execute(const dispatch::send_load_report&) {}
    void execute(const dispatch::send_crash_report&) {}
    void execute(const dispatch::send_notice_report&) {}

    void give_up_requests()
    {
        is_refusing_ = true;
        std::vector<exchange_ptr> open;
        for (const auto& [id, each] : exchanges_)
            open.push_back(each);
        for (const exchange_ptr& each : open)
            each->give_up();
        const auto callers = callers_;
        for (const auto& each : callers)
            each->refuse_requests();
    }

    void close_callers()
    {
        const auto callers = callers_;
        for (const auto& each : callers)
            each->stop();
    }

    forward_settings settings_;
    protocol_hooks protocol_;
    forwarder_hooks hooks_;
    /// For the bodies of requests, from their first byte on. Outlives what
    /// waits in the context.
    byte_budget body_budget_;
    asio::io_context context_{1};
    tcp::acceptor acceptor_;
    server_connection_pool server_connections_;
    dispatch::call_restrictions restrictions_;
    action_ring actions_;
    /// A call of `execute_actions` is posted and has not started.
    std::atomic<bool> is_wakeup_pending_ = false;
    absl::flat_hash_set<caller_ptr> callers_;
    absl::flat_hash_map<std::uint64_t, exchange_ptr> exchanges_;
    std::uint64_t next_request_id_ = 1;
    bool is_leaving_ = false;
    /// No request is passed on any more.
    bool is_refusing_ = false;
    std::atomic<std::uint64_t> caller_count_ = 0;
    std::atomic<std::uint64_t> open_request_count_ = 0;
    std::atomic<std::uint64_t> connections_opened_ = 0;
};

forwarder::forwarder(forward_settings settings, protocol_hooks protocol,
                     forwarder_hooks hooks)
    : loop_(std::make_unique<event_loop>(std::move(settings),
                                         std::move(protocol), std::move(hooks)))
{
}

forwarder::~forwarder() = default;

error_code forwarder::listen()
{
    return loop_->listen();
}

std::uint16_t forwarder::port() const
{
    return loop_->port();
}

void forwarder::run()
{
    loop_->run();
}

bool forwarder::submit(dispatch::action action)
{
    return loop_->submit(std::move(action));
}

void forwarder::leave(bool closes_listener)
{
    loop_->leave(closes_listener);
}

void forwarder::give_up_requests()
{
    loop_->post_give_up();
}

void forwarder::stop()
{
    loop_->stop();
}

forward_counters forwarder::counters() const
{
    return loop_->counters();
}

} // namespace oriolefall::forward

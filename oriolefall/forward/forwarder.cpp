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

constexpr int accept_queue = 1024;
/// Orders that wait for the forwarding thread at most.
constexpr std::size_t action_capacity = 8192;

} // namespace

class forwarder::loop
{
public:
    loop(forward_settings settings, protocol_hooks protocol,
         forwarder_hooks hooks)
        : settings_(std::move(settings)), protocol_(std::move(protocol)),
          hooks_(std::move(hooks)), acceptor_(context_),
          servers_(context_, settings_), actions_(action_capacity)
    {
    }

    bool listen()
    {
        return net::open_acceptor(acceptor_, settings_.listen, accept_queue);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        error_code ignored;
        return acceptor_.local_endpoint(ignored).port();
    }

    void run()
    {
        net::keep_accepting(acceptor_, [this](tcp::socket socket) {
            if (callers_.size() < settings_.most_callers)
                add_caller(std::move(socket));
        });
        const auto work = asio::make_work_guard(context_);
        context_.run();
        cut_all();
    }

    bool give(dispatch::action action)
    {
        if (!actions_.try_push(std::move(action)))
            return false;
        if (!woken_.exchange(true))
            asio::post(context_, [this] { take_actions(); });
        return true;
    }

    void leave(bool closes_listener)
    {
        asio::post(context_, [this, closes_listener] {
            if (closes_listener) {
                error_code ignored;
                acceptor_.close(ignored);
            }
            leaving_ = true;
            const auto callers = callers_;
            for (const auto& each : callers)
                each->leave();
        });
    }

    void stop()
    {
        context_.stop();
    }

    [[nodiscard]] forward_counts counts() const
    {
        return {caller_count_.load(), open_count_.load(), opened_count_.load()};
    }

private:
    using caller_ptr = std::shared_ptr<caller_connection>;
    using exchange_ptr = std::shared_ptr<exchange>;

    void add_caller(tcp::socket socket)
    {
        caller_hooks hooks;
        // Filled for each request; shared by the hooks of this connection.
        const auto open = std::make_shared<exchange_ptr>();
        hooks.request = [this, open](caller_connection& caller,
                                     caller_request request,
                                     absl::Time received) {
            begin(caller, std::move(request), received, *open);
        };
        hooks.left = [open] {
            if (const auto held = std::exchange(*open, nullptr))
                held->caller_left();
        };
        hooks.drained = [open] {
            if (const auto held = *open)
                held->caller_drained();
        };
        hooks.closed = [this](caller_connection& closed) {
            callers_.erase(closed.shared_from_this());
            caller_count_ = callers_.size();
        };
        hooks.limits = hooks_.limits;
        auto caller = std::make_shared<caller_connection>(
            std::move(socket), settings_, std::move(hooks));
        callers_.insert(caller);
        caller_count_ = callers_.size();
        caller->start();
        if (leaving_)
            caller->leave();
    }

    void begin(caller_connection& caller, caller_request request,
               absl::Time received, exchange_ptr& open)
    {
        const core::request_id id(next_request_++);
        dispatch::arrival arrival = protocol_.read_request(request);
        arrival.id = id;
        arrival.received_at = received;
        arrival.body_bytes = static_cast<std::uint32_t>(request.body().size());
        const bool has_room = exchanges_.size() < settings_.most_open &&
                              request_bytes_ + request.body().size() <=
                                  settings_.most_request_bytes;
        open = std::make_shared<exchange>(
            id, std::move(request), caller.shared_from_this(),
            exchange::surroundings{
                context_, settings_, protocol_, servers_,
                [this](dispatch::event event) { tell(std::move(event)); },
                [this, &open_slot = open, keep = caller.shared_from_this()](
                    core::request_id over) { forget(over, open_slot); }});
        request_bytes_ += open->request_bytes();
        exchanges_.emplace(id.value(), open);
        open_count_ = exchanges_.size();
        if (!has_room || !hooks_.tell(std::move(arrival)))
            open->act(dispatch::refuse{id, dispatch::refusal::overloaded, true,
                                       settings_.come_back});
    }

    void tell(dispatch::event event)
    {
        const bool told = hooks_.tell(std::move(event));
        assert(told);
        static_cast<void>(told);
    }

    void forget(core::request_id id, exchange_ptr& open)
    {
        const auto found = exchanges_.find(id.value());
        if (found == exchanges_.end())
            return;
        request_bytes_ -= found->second->request_bytes();
        if (open == found->second)
            open = nullptr;
        // It may be on the stack still.
        asio::post(context_, [kept = found->second] {});
        exchanges_.erase(found);
        open_count_ = exchanges_.size();
        opened_count_ = servers_.opened();
    }

    void take_actions()
    {
        woken_ = false;
        std::vector<dispatch::action> batch;
        actions_.pop_some(batch, action_capacity,
                          std::chrono::steady_clock::time_point{});
        for (const dispatch::action& action : batch)
            std::visit([this](const auto& order) { carry_out(order); }, action);
    }

    template <class Order>
    void carry_out(const Order& order)
    {
        const auto found = exchanges_.find(order.id.value());
        if (found == exchanges_.end())
            return;
        const exchange_ptr held = found->second;
        held->act(order);
    }

    // These go to other duties.
    void carry_out(const dispatch::decision_record&) {}
    void carry_out(const dispatch::ejection_change&) {}
    void carry_out(const dispatch::send_load_report&) {}

    void cut_all()
    {
        std::vector<exchange_ptr> open;
        for (const auto& [id, held] : exchanges_)
            open.push_back(held);
        for (const exchange_ptr& each : open)
            each->cut();
        const auto callers = callers_;
        for (const auto& each : callers)
            each->abort();
    }

    forward_settings settings_;
    protocol_hooks protocol_;
    forwarder_hooks hooks_;
    asio::io_context context_{1};
    tcp::acceptor acceptor_;
    server_connections servers_;
    action_ring actions_;
    std::atomic<bool> woken_ = false;
    absl::flat_hash_set<caller_ptr> callers_;
    absl::flat_hash_map<std::uint64_t, exchange_ptr> exchanges_;
    std::size_t request_bytes_ = 0;
    std::uint64_t next_request_ = 1;
    bool leaving_ = false;
    std::atomic<std::uint64_t> caller_count_ = 0;
    std::atomic<std::uint64_t> open_count_ = 0;
    std::atomic<std::uint64_t> opened_count_ = 0;
};

forwarder::forwarder(forward_settings settings, protocol_hooks protocol,
                     forwarder_hooks hooks)
    : loop_(std::make_unique<loop>(std::move(settings), std::move(protocol),
                                   std::move(hooks)))
{
}

forwarder::~forwarder() = default;

bool forwarder::listen()
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

bool forwarder::give(dispatch::action action)
{
    return loop_->give(std::move(action));
}

void forwarder::leave(bool closes_listener)
{
    loop_->leave(closes_listener);
}

void forwarder::stop()
{
    loop_->stop();
}

forward_counts forwarder::counts() const
{
    return loop_->counts();
}

} // namespace oriolefall::forward

#ifndef ORIOLEFALL_FORWARD_FORWARDER_HPP
#define ORIOLEFALL_FORWARD_FORWARDER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/latest_value.hpp"
#include "oriolefall/dispatch/action.hpp"
#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/forward/forward_settings.hpp"
#include "oriolefall/forward/protocol_hooks.hpp"
#include "oriolefall/net/guarded.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace oriolefall::forward {

using action_ring = core::bounded_ring<dispatch::action>;

/// What the forwarding duty needs from other duties.
struct forwarder_hooks
{
    /// Reports an event to the deciding duty; false when it is dropped. Only
    /// events for which `dispatch::may_be_dropped` holds may be, while at most
    /// `max_open_requests` requests are open.
    std::function<bool(dispatch::event)> report;
    /// Returns the limits for callers currently in force.
    std::function<routing::caller_limits()> limits;
    /// A request or an answer could not be read, by an exception.
    net::read_error_hook read_error;
};

/// Counters for the metrics page.
struct forward_counters
{
    std::uint64_t callers = 0;
    std::uint64_t open_requests = 0;
    std::uint64_t server_connections_opened = 0;
    auto operator<=>(const forward_counters&) const = default;
};

/// The forwarding duty: handles all connections to callers and backend servers
/// on one thread. It makes no decisions: it reports events to the deciding duty
/// and executes the actions that come back.
class forwarder
{
public:
    forwarder(forward_settings settings, protocol_hooks protocol,
              forwarder_hooks hooks);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    /// Starts to listen; may be called again after an error.
    [[nodiscard]] error_code listen();
    [[nodiscard]] std::uint16_t port() const;
    /// Runs the duty on the calling thread until `stop` is called.
    void run();

    /// Queues an action for execution. Never blocks; false when the ring is
    /// full. May be called from any thread.
    [[nodiscard]] bool submit(dispatch::action action);
    /// Accepts no requests after the open ones; with `closes_listener` no new
    /// connections either. May be called from any thread.
    void leave(bool closes_listener);
    /// Answers the open requests with errors, and cuts off answers that have
    /// begun: their time is over. May be called from any thread.
    void give_up_requests();
    /// Ends `run`, which gives up the open requests and closes all
    /// connections. May be called from any thread.
    void stop();
    /// May be called from any thread.
    [[nodiscard]] forward_counters counters() const;

private:
    class event_loop;
    std::unique_ptr<event_loop> loop_;
};

} // namespace oriolefall::forward

#endif

#ifndef ORIOLEFALL_FORWARD_FORWARDER_HPP
#define ORIOLEFALL_FORWARD_FORWARDER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/latest_value.hpp"
#include "oriolefall/dispatch/action.hpp"
#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/forward/forward_settings.hpp"
#include "oriolefall/forward/protocol_hooks.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace oriolefall::forward {

using action_ring = core::bounded_ring<dispatch::action>;

/// What the forwarding duty needs of the others.
struct forwarder_hooks
{
    /// Tells the deciding duty; false when it has no room. There is room for
    /// all but arrivals as long as `most_open` requests are open.
    std::function<bool(dispatch::event)> tell;
    std::function<routing::caller_limits()> limits;
};

/// Figures for the metrics page. Any thread may read them.
struct forward_counts
{
    std::uint64_t callers = 0;
    std::uint64_t open_requests = 0;
    std::uint64_t server_connections_opened = 0;
    auto operator<=>(const forward_counts&) const = default;
};

/// The forwarding duty: all connections to callers and backend servers, on
/// one thread. It decides nothing: what happens is told, what is decided is
/// carried out.
class forwarder
{
public:
    forwarder(forward_settings settings, protocol_hooks protocol,
              forwarder_hooks hooks);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    /// Listens. False when the address cannot be had.
    [[nodiscard]] bool listen();
    [[nodiscard]] std::uint16_t port() const;
    /// Runs until `stop`; the duty's thread.
    void run();

    /// Orders what was decided. Never blocks; false when there is no room.
    /// Any thread.
    [[nodiscard]] bool give(dispatch::action action);
    /// Takes no new connections, and no request after the open ones. Any
    /// thread.
    void leave(bool closes_listener);
    /// Cuts what is open and ends `run`. Any thread.
    void stop();
    [[nodiscard]] forward_counts counts() const;

private:
    class loop;
    std::unique_ptr<loop> loop_;
};

} // namespace oriolefall::forward

#endif

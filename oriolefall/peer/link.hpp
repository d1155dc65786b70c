#ifndef ORIOLEFALL_PEER_LINK_HPP
#define ORIOLEFALL_PEER_LINK_HPP

#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/peer/link_command.hpp"
#include "oriolefall/peer/link_counters.hpp"
#include "oriolefall/peer/link_loop.hpp"
#include "oriolefall/peer/link_settings.hpp"
#include "oriolefall/peer/waker.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace oriolefall::peer {

/// This instance's end of all peer links. Owns the peer thread.
class link
{
public:
    /// `event_sink` is called on the peer thread for each event. It must not
    /// block, and returns false if it has no room for the event.
    link(link_settings settings, link_event_sink event_sink);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Listens and starts the peer thread. Returns false if listening fails.
    /// May be called only once.
    bool start();
    /// Stops the peer thread and closes all connections.
    void stop();

    /// Queues a message for the peer thread. Never blocks; returns false if the
    /// ring is full. A queued message may still be lost without notice. Any
    /// thread.
    bool send(const core::instance_id& to, message value);
    /// Sets the peers to which connections are kept. Connections that other
    /// instances have opened are unaffected. Never blocks; returns false if the
    /// ring is full. Any thread.
    bool set_peers(std::vector<peer_address> peers);

    /// The port at which the link listens; 0 before `start`.
    [[nodiscard]] std::uint16_t port() const;
    /// Any thread.
    [[nodiscard]] link_counts counts() const;

private:
    bool push(link_command command);

    link_settings settings_;
    link_event_sink event_sink_;
    link_ring commands_;
    waker waker_;
    link_counters counters_;
    std::uint16_t port_ = 0;
    std::optional<link_loop> loop_;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::peer

#endif

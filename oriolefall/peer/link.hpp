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

/// This instance's end of the inner protocol, with the peer thread.
class link
{
public:
    /// `hook` is called on the peer thread for whatever comes; it must not
    /// block, and says false when it had no room.
    link(link_settings settings, link_event_sink event_sink);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Listens and starts the peer thread. False when the address cannot be
    /// listened at. Once.
    bool start();
    /// Ends all connections and the thread.
    void stop();

    /// Hands a message to the peer thread. Never blocks; false when there is
    /// no room. What is sent may be lost without a word. Any thread.
    bool send(const core::instance_id& to, message value);
    /// Keeps connections to exactly these, besides those that others open.
    /// Never blocks; false when there is no room. Any thread.
    bool set_peers(std::vector<peer_address> peers);

    /// Where it listens; 0 before `start`.
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

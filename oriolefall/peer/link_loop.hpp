#ifndef ORIOLEFALL_PEER_LINK_LOOP_HPP
#define ORIOLEFALL_PEER_LINK_LOOP_HPP

#include "oriolefall/peer/backoff.hpp"
#include "oriolefall/peer/connection.hpp"
#include "oriolefall/peer/link_command.hpp"
#include "oriolefall/peer/link_counters.hpp"
#include "oriolefall/peer/link_event.hpp"
#include "oriolefall/peer/link_settings.hpp"
#include "oriolefall/peer/socket.hpp"
#include "oriolefall/peer/waker.hpp"

#include <absl/time/time.h>
#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace oriolefall::peer {

/// Receives the events of a link. Called on the peer thread; must not block.
/// Returns false if it has no room for the event.
using link_event_sink = std::function<bool(link_event)>;

/// The duty of the peer thread: drives all connections to other instances with
/// a single `poll`.
class link_loop
{
public:
    link_loop(const link_settings& settings, unique_fd listener,
              link_ring& commands, waker& loop_waker, link_counters& counters,
              link_event_sink event_sink);

    /// Runs until `commands` is closed.
    void run();

private:
    using connection_id = std::uint64_t;

    struct connection_entry
    {
        std::unique_ptr<connection> value;
        /// Key in `desired_peers_` of the peer that was dialed; empty for an
        /// accepted connection.
        core::instance_id dialed_peer;
        /// Whether this is the entry of its peer in `active_connections_`.
        bool is_active = false;
    };

    struct desired_peer
    {
        core::endpoint endpoint;
        peer::backoff backoff;
        absl::Time dial_at;
        bool is_dialing = false;
    };

    bool take_commands(absl::Time now);
    void apply(absl::Time now, const outgoing_message& command);
    void apply(absl::Time now, const desired_peers& command);
    void dial_due_peers(absl::Time now);
    void dial(absl::Time now, const core::instance_id& to, desired_peer& peer);
    void accept_all(absl::Time now);
    void add_connection(unique_fd fd, connection_role role,
                        const core::instance_id& dialed_peer, absl::Time now);
    void write_all();
    void check_timeouts(absl::Time now);
    void on_opened(connection_id id, connection_entry& opened);
    [[nodiscard]] bool takes_precedence(const connection& candidate,
                                        const connection& existing) const;
    void receive(connection_entry& from);
    void remove_closed(absl::Time now);
    void on_closed(absl::Time now, connection_id id,
                   const connection_entry& closed);
    void report_closed(const core::instance_id& peer, refusal reason);
    void redeliver_closed_events();
    void poll_connections();
    void handle_ready(absl::Time now);
    [[nodiscard]] absl::Time next_deadline() const;

    link_settings settings_;
    unique_fd listener_;
    link_ring& commands_;
    waker& waker_;
    link_counters& counters_;
    link_event_sink event_sink_;
    std::mt19937_64 random_;
    /// By instance, or by address for a peer whose instance is not known.
    std::map<core::instance_id, desired_peer> desired_peers_;
    std::map<connection_id, connection_entry> connections_;
    /// The open connection that is used for each peer.
    std::map<core::instance_id, connection_id> active_connections_;
    /// Events that `event_sink_` had no room for, in order.
    std::vector<peer_closed> undelivered_events_;
    std::vector<link_command> batch_;
    std::vector<pollfd> poll_fds_;
    connection_id next_id_ = 1;
};

} // namespace oriolefall::peer

#endif

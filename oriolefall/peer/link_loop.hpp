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

/// Takes what comes from other instances. Called on the peer thread; must not
/// block. False when there was no room.
using link_hook = std::function<bool(link_event)>;

/// The duty of the peer thread: all connections to other instances, driven by
/// one `poll`.
class link_loop
{
public:
    link_loop(const link_settings& settings, unique_fd listener,
              link_ring& commands, waker& wake, link_counters& counters,
              link_hook hook);

    /// Runs until `commands` is closed.
    void run();

private:
    using connection_id = std::uint64_t;

    struct held_connection
    {
        std::unique_ptr<connection> value;
        /// The instance that this one wanted to reach with it.
        core::instance_id wanted;
        bool is_announced = false;
    };

    struct wanted_peer
    {
        core::endpoint endpoint;
        peer::backoff backoff;
        absl::Time dial_at;
        bool is_dialing = false;
    };

    bool take_commands(absl::Time now);
    void apply(absl::Time now, const outgoing& command);
    void apply(absl::Time now, const wanted_peers& command);
    void dial_due(absl::Time now);
    void dial(absl::Time now, const core::instance_id& to, wanted_peer& peer);
    void accept_all(absl::Time now);
    void add(unique_fd fd, proof_role role, const core::instance_id& wanted,
             absl::Time now);
    void write_all();
    void check_times(absl::Time now);
    void announce(connection_id id, held_connection& opened);
    [[nodiscard]] bool goes_before(const connection& next,
                                   const connection& held) const;
    void receive(held_connection& from);
    void remove_ended(absl::Time now);
    void on_ended(absl::Time now, connection_id id,
                  const held_connection& ended);
    void emit_closed(const core::instance_id& peer, refusal why);
    void emit_undelivered();
    void wait();
    void handle_ready(absl::Time now);
    [[nodiscard]] absl::Time next_deadline() const;

    link_settings settings_;
    unique_fd listener_;
    link_ring& commands_;
    waker& wake_;
    link_counters& counters_;
    link_hook hook_;
    std::mt19937_64 random_;
    std::map<core::instance_id, wanted_peer> wanted_;
    std::map<connection_id, held_connection> connections_;
    std::map<core::instance_id, connection_id> open_;
    std::vector<peer_closed> undelivered_;
    std::vector<link_command> batch_;
    std::vector<pollfd> polled_;
    connection_id next_id_ = 1;
};

} // namespace oriolefall::peer

#endif

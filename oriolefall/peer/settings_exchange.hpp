#ifndef ORIOLEFALL_PEER_SETTINGS_EXCHANGE_HPP
#define ORIOLEFALL_PEER_SETTINGS_EXCHANGE_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/peer/link_command.hpp"
#include "oriolefall/peer/message.hpp"
#include "oriolefall/settings/replica.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::peer {

/// A newer version of an object was stored in the replica.
struct object_updated
{
    settings::tree_object object;
    auto operator<=>(const object_updated&) const = default;
};

using exchange_action = std::variant<outgoing_message, object_updated>;

/// Replicates the settings tree among instances. A state machine without I/O
/// or a clock. A change is offered by its version to all linked peers and
/// fetched by those that hold an older version, so that each value is sent to
/// an instance only once. Heartbeats carry the digest of the replica; peers
/// whose digests keep differing offer each other all versions (anti-entropy:
/// Demers et al., PODC 1987). One thread at a time.
class settings_exchange
{
public:
    void on_peer_opened(const core::instance_id& peer);
    void on_peer_closed(const core::instance_id& peer);
    void on_heartbeat(const core::instance_id& peer, std::uint64_t digest,
                      std::vector<exchange_action>& out);
    void on_message(absl::Time now, const core::instance_id& peer,
                    const settings_offer& offer,
                    std::vector<exchange_action>& out);
    void on_message(absl::Time now, const core::instance_id& peer,
                    const settings_fetch& fetch,
                    std::vector<exchange_action>& out);
    void on_message(absl::Time now, const core::instance_id& peer,
                    const settings_answer& answer,
                    std::vector<exchange_action>& out);
    /// Stores objects that were read from the platform.
    void on_platform_read(const std::vector<settings::tree_object>& objects,
                          std::vector<exchange_action>& out);
    /// Requests objects from another peer if a fetch was not answered in time.
    void on_tick(absl::Time now, std::vector<exchange_action>& out);

    [[nodiscard]] const settings::replica& replica() const;

private:
    /// A fetch of one object that has not been answered.
    struct pending_fetch
    {
        std::uint64_t version = 0;
        /// Other peers that offered this version, in the order in which they
        /// will be asked.
        std::deque<core::instance_id> alternative_peers;
        absl::Time deadline;
    };

    void store(const settings::tree_object& object,
               std::vector<exchange_action>& out);
    void offer_changes(const core::instance_id& source,
                       std::vector<exchange_action>& out);

    settings::replica replica_;
    /// Linked peers, each with the number of consecutive heartbeats whose
    /// digest differed.
    std::map<core::instance_id, unsigned> linked_peers_;
    std::map<std::string, pending_fetch> pending_fetches_;
    /// Versions stored since the last offer to peers.
    std::vector<settings::path_version> changed_versions_;
};

} // namespace oriolefall::peer

#endif

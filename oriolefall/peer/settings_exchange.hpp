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

/// An object is now held in a newer version.
struct object_updated
{
    settings::tree_object object;
    auto operator<=>(const object_updated&) const = default;
};

using exchange_action = std::variant<outgoing_message, object_updated>;

/// Spreads the settings tree among instances. A state machine: no input or
/// output, no clock. What changed is offered by its version to all linked
/// peers and fetched by those that hold an older one, so each value crosses
/// to an instance once. Heartbeats carry the replica's digest; peers whose
/// digests stay unlike offer each other all versions (anti-entropy: Demers et
/// al., PODC 1987). One thread at a time.
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
    /// Objects that the platform told.
    void on_platform_read(const std::vector<settings::tree_object>& objects,
                          std::vector<exchange_action>& out);
    /// Asks others for what was not answered in time.
    void on_tick(absl::Time now, std::vector<exchange_action>& out);

    [[nodiscard]] const settings::replica& replica() const;

private:
    /// An object that was asked for.
    struct pending_fetch
    {
        std::uint64_t version = 0;
        /// Others that offered it, in the order in which they will be asked.
        std::deque<core::instance_id> alternative_peers;
        absl::Time deadline;
    };

    void store(const settings::tree_object& object,
               std::vector<exchange_action>& out);
    void offer_changes(const core::instance_id& source,
                       std::vector<exchange_action>& out);

    settings::replica replica_;
    /// Linked peers, with the heartbeats in a row whose digest differed.
    std::map<core::instance_id, unsigned> linked_peers_;
    std::map<std::string, pending_fetch> pending_fetches_;
    /// Changes of the step under way.
    std::vector<settings::path_version> changed_versions_;
};

} // namespace oriolefall::peer

#endif

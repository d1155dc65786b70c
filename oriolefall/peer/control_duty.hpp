#ifndef ORIOLEFALL_PEER_CONTROL_DUTY_HPP
#define ORIOLEFALL_PEER_CONTROL_DUTY_HPP

#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/membership/member_table.hpp"
#include "oriolefall/peer/control_event.hpp"
#include "oriolefall/peer/link.hpp"
#include "oriolefall/peer/settings_exchange.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriolefall::peer {

/// An immutable snapshot of the members of the fleet.
using members_ptr = std::shared_ptr<const std::vector<membership::member>>;

/// Settings of an instance's membership in the fleet.
struct control_settings
{
    link_settings link;
    membership::membership_settings membership;
    /// The endpoint at which this instance listens for callers.
    core::endpoint caller_endpoint;
    core::location location;
    /// Instances to connect to while no peers are chosen.
    std::vector<core::endpoint> seeds;
    /// Number of instances in each failure domain that read the platform.
    std::size_t readers_per_domain = 2;
    std::size_t ring_capacity = 4096;
};

/// Hooks by which the control duty notifies the rest of the instance. They are
/// called on the control thread and must not block.
struct control_hooks
{
    /// The members of the fleet or the open peer links have changed.
    std::function<void(members_ptr)> members_changed;
    /// Newer versions of these settings objects were stored in the replica.
    std::function<void(const std::vector<settings::tree_object>&)>
        settings_changed;
    /// This instance starts (true) or stops (false) reading the platform.
    std::function<void(bool)> reader_role_changed;
    /// A message was received that the control duty does not handle: a load
    /// report, or a query or answer about an idempotency key.
    std::function<void(const peer_message&)> other_message_received;
};

/// The duty that maintains the member table and the settings replica. Rings
/// connect it to the peer thread. While the platform is unavailable it
/// continues to work and receives settings from peers.
class control_duty
{
public:
    control_duty(control_settings settings, control_hooks hooks);
    ~control_duty();
    control_duty(const control_duty&) = delete;
    control_duty& operator=(const control_duty&) = delete;

    /// Listens and starts the peer and control threads. Returns false if
    /// listening fails. May be called only once.
    bool start();
    void stop();

    /// Posts an event to the control thread. Never blocks; returns false if the
    /// ring is full. Any thread.
    bool post(control_event event);
    /// The port at which this instance listens for other instances. Any thread
    /// after `start`.
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] link_counts counts() const;

private:
    void run();
    void tick();
    void apply(const control_event& event);
    void on(const link_event& event);
    void on(const settings_read& event);
    void on(const membership::platform_listed& event);
    void on(const membership::leave_requested& event);
    void on(const outgoing_message& event);
    void on(const message_to_peers& event);
    void on_link_event(const peer_opened& event);
    void on_link_event(const peer_closed& event);
    void on_link_event(const peer_message& event);
    void on_message(const core::instance_id& from,
                    const membership::heartbeat& value);
    void on_message(const core::instance_id& from, const member_update& value);
    void on_message(const core::instance_id& from,
                    const membership::member_buckets& value);
    template <class Message>
    void on_settings(const core::instance_id& from, const Message& value);

    void step_table(const membership::event& event);
    void execute(const membership::action& action);
    void execute(std::vector<exchange_action>& actions);
    void set_desired_peers(const std::vector<membership::member>& peers);
    void publish_members();
    void update_reader_role();

    control_settings settings_;
    control_hooks hooks_;
    control_ring events_;
    peer::link link_;
    std::optional<membership::member_table> table_;
    settings_exchange exchange_;
    std::vector<membership::action> actions_;
    /// When the current batch of events was taken from the ring.
    absl::Time now_ = absl::InfinitePast();
    std::set<core::instance_id> linked_peers_;
    bool has_member_changes_ = true;
    std::optional<bool> is_reader_;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::peer

#endif

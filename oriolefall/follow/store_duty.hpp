#ifndef ORIOLEFALL_FOLLOW_STORE_DUTY_HPP
#define ORIOLEFALL_FOLLOW_STORE_DUTY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/follow/collection_follower.hpp"
#include "oriolefall/follow/own_registration.hpp"
#include "oriolefall/follow/store_connection.hpp"
#include "oriolefall/follow/store_protocol.hpp"
#include "oriolefall/follow/view_relay.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::follow {

struct store_duty_settings
{
    core::endpoint store;
    /// Collections that are followed by list and watch.
    std::vector<follower_settings> followed_collections;
    relay_settings relay;
    /// Of all followed collections.
    relay_role initial_role = relay_role::independent;
    registration_settings registration;
    std::chrono::milliseconds answer_timeout{1200};
    /// Time that the answer to a watch may take beyond the timeout of the
    /// watch.
    std::chrono::milliseconds watch_answer_timeout{700};
    /// Time between two checks of the relay: whether a query or a role is due.
    std::chrono::milliseconds relay_check_interval{100};
    /// Time between two cheap calls by which a watching instance verifies that
    /// it reaches the store while its watch calls are pending.
    absl::Duration path_check_interval = absl::Seconds(1);
    /// Maximum number of queued messages of peers.
    std::size_t ring_capacity = 1024;
};

/// A message between the store duties of two instances.
using view_message = std::variant<view_query, view_update>;

/// A message from a peer.
struct view_message_received
{
    core::instance_id from;
    view_message message;
    std::strong_ordering
    operator<=>(const view_message_received&) const = default;
};

/// What other duties tell the store duty.
using store_event = std::variant<relay_assignment, view_message_received>;

/// Notifications of the store duty. Called on the store thread; must not
/// block.
struct store_duty_hooks
{
    /// A followed collection has changed.
    std::function<void(const std::string& collection, const collection_view&)>
        on_changed;
    /// The listed collection was read completely.
    std::function<void(const std::vector<stored_object>&)> on_listed;
    /// The store was restored from a copy; `lost_changes` known ones are not in
    /// the new list of the collection.
    std::function<void(const std::string& collection, std::uint64_t epoch,
                       std::size_t lost_changes)>
        on_restored;
    /// The store became unreachable or reachable again.
    std::function<void(const std::string& collection, bool is_unreachable,
                       const std::string& cause)>
        on_unreachable_changed;
    /// Sends a message to a peer. It may be lost.
    std::function<void(const core::instance_id& to, view_message)> send;
    std::function<void(relay_role)> on_role_changed;
    /// A follower starts to call the store itself, as no peer has confirmed its
    /// view of the collection in time.
    std::function<void(const std::string& collection)> on_relay_lost;
};

/// The duty that communicates with the store: it follows collections, alone or
/// with the help of peers, and keeps this instance registered. Has a thread of
/// its own.
class store_duty
{
public:
    store_duty(store_duty_settings settings, store_protocol protocol,
               store_duty_hooks hooks);
    ~store_duty();
    store_duty(const store_duty&) = delete;
    store_duty& operator=(const store_duty&) = delete;

    void start(const own_object& own);
    /// Starts the removal of the own object. A failed call is not retried, and
    /// `stop` aborts it. Thread-safe.
    void leave();
    /// Starts the removal of one object of the listed collection. A failed call
    /// is not retried. Thread-safe.
    void remove(const std::string& collection, const std::string& name);
    /// Never blocks; returns false if the ring is full. Thread-safe.
    bool post(store_event event);
    void stop();

private:
    struct followed_collection;
    /// Of a followed collection, to notice a change.
    struct known_state
    {
        bool is_unreachable = false;
        std::uint64_t epoch = 0;
        bool is_synced = false;
        explicit known_state(const collection_follower& follower);
    };
    void process_events();
    void on(const relay_assignment& event);
    void on(const view_message_received& event);
    void on_view_message(const core::instance_id& from,
                         const view_query& query);
    void on_view_message(const core::instance_id& from,
                         const view_update& update);
    void schedule_relay_check();
    void check_relay();
    void check_path();
    [[nodiscard]] view_relay::named_followers named_followers() const;
    /// Tells the hooks what has changed, and goes on with the calls.
    void report_changes(followed_collection& collection,
                        const known_state& before, bool has_changed);
    void start_next_call(followed_collection& collection);
    void send_call(followed_collection& collection, const read_call& call);
    void on_result(followed_collection& collection, const read_call& call,
                   const store_result& result);
    void schedule_expiry(followed_collection& collection);
    store_duty_settings settings_;
    store_protocol protocol_;
    store_duty_hooks hooks_;
    asio::io_context context_{1};
    std::vector<std::unique_ptr<followed_collection>> followed_collections_;
    std::optional<view_relay> relay_;
    own_registration registration_;
    core::bounded_ring<store_event> events_;
    std::atomic<bool> is_wakeup_pending_ = false;
    asio::steady_timer relay_timer_;
    std::shared_ptr<store_connection> path_connection_;
    bool is_checking_path_ = false;
    absl::Time next_path_check_ = absl::InfinitePast();
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::follow

#endif

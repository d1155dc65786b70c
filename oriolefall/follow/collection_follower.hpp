#ifndef ORIOLEFALL_FOLLOW_COLLECTION_FOLLOWER_HPP
#define ORIOLEFALL_FOLLOW_COLLECTION_FOLLOWER_HPP

#include "oriolefall/follow/deletion_log.hpp"
#include "oriolefall/follow/paged_list.hpp"
#include "oriolefall/follow/relay_role.hpp"
#include "oriolefall/follow/view_message.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace oriolefall::follow {

/// How a collection of the store is followed.
struct follower_settings
{
    std::string collection;
    /// Timeout of a watch call. A watch whose connection has fallen silent
    /// looks like one without news for this long, whatever other connections
    /// show.
    absl::Duration watch_timeout = absl::Seconds(2);
    /// Timeout of watch calls while the store is unreachable; short, so that
    /// its recovery is detected soon.
    absl::Duration recovery_watch_timeout = absl::Milliseconds(500);
    /// Delay before the next watch after changes were received, so that
    /// changes in quick succession are fetched together. Also the least time
    /// between two watches that bring none.
    absl::Duration batch_delay = absl::Milliseconds(250);
    /// Whether the first list may be a few seconds old, which costs the store
    /// less. What it lacks comes by the first watch or from a peer.
    bool may_start_stale = false;
    relay_role initial_role = relay_role::independent;
    /// An instance that receives the collection from peers calls the store
    /// itself when its view has not been confirmed for this long.
    absl::Duration relay_timeout = absl::Milliseconds(1500);
    /// The same until the first confirmation, while peers are found.
    absl::Duration initial_relay_timeout = absl::Milliseconds(2500);
    /// Delay before the next watch of a watcher after changes were received.
    absl::Duration watcher_batch_delay = absl::Milliseconds(500);
    /// Delay before the store is called again after repeated failures while
    /// peers confirm the view: the store turns away this instance only.
    absl::Duration relayed_backoff = absl::Seconds(2);
    /// Delay before the collection is listed again when it was empty at the
    /// start, or as it was before the store was restored. Also the least time
    /// between the starts of two lists.
    absl::Duration relist_delay = absl::Milliseconds(500);
    absl::Duration initial_backoff = absl::Milliseconds(100);
    absl::Duration max_backoff = absl::Milliseconds(800);
    /// Time after the recovery of the store for which removed objects are
    /// retained as stale, since their writers may store them again.
    absl::Duration stale_timeout = absl::Milliseconds(2200);
    /// Time after the recovery of the store for which changes that it has lost
    /// are remembered. Longer than it takes the store to drop the object of a
    /// writer that is gone.
    absl::Duration lost_change_timeout = absl::Seconds(5);
    std::strong_ordering operator<=>(const follower_settings&) const = default;
};

/// The known objects of a collection.
struct collection_view
{
    std::map<std::string, stored_object> objects;
    /// Objects that were removed while the store was unreachable or shortly
    /// after its recovery; they may reappear.
    std::map<std::string, stored_object> stale;
    /// The last known changes that the store no longer has, since it was
    /// restored from a copy. Their writers may make them again.
    std::map<std::string, object_change> lost_changes;
    /// Counts the restores of the store. Revisions of one epoch say nothing
    /// about those of another.
    std::uint64_t epoch = 0;
    auto operator<=>(const collection_view&) const = default;
};

/// Tracks one collection by list and watch, or by what peers relay. A state
/// machine without I/O or clock. An older revision never replaces a newer one
/// of the same epoch; when the store was restored, the collection is listed
/// anew, and what is known of an earlier epoch replaces nothing.
///
/// A view that peers relay is confirmed as of the time at which a watching
/// instance had it confirmed by the store. Without a recent confirmation the
/// store is called, whatever the peers say. Not thread-safe.
class collection_follower
{
public:
    explicit collection_follower(follower_settings settings);

    /// The next call and the earliest time at which to start it.
    [[nodiscard]] std::pair<read_call, absl::Time> next_call() const;
    /// That call was sent.
    void on_call_started(absl::Time now);
    /// Processes the result of that call. `named_epoch` is the one that the
    /// answer names, if any. Returns whether the view changed.
    bool on_result(absl::Time now, const call_result& result,
                   std::optional<std::uint64_t> named_epoch = {});
    void set_role(relay_role role);
    /// The store has answered a call that was sent at `sent_at`. A pending
    /// watch is taken to have heard of the changes made before. Where its
    /// connection is silent that is wrong, until its timeout at most.
    void on_path_confirmed(absl::Time sent_at,
                           std::optional<std::uint64_t> named_epoch = {});
    /// Processes what a peer knows; its age was known at `asked_at` or later.
    /// Returns whether the view changed.
    bool on_relayed(absl::Time now, absl::Time asked_at,
                    const collection_update& update);
    /// What this instance knows beyond what a peer does.
    [[nodiscard]] collection_update
    update_since(absl::Time now, const collection_revision& known) const;
    /// Removes stale objects and lost changes that are due. Returns whether the
    /// view changed.
    bool expire(absl::Time now);
    /// When `expire` is due; infinite without such objects and while the store
    /// is unreachable.
    [[nodiscard]] absl::Time next_expiry() const;

    /// Whether the collection has been listed completely at least once.
    [[nodiscard]] bool is_synced() const;
    [[nodiscard]] const collection_view& view() const;
    /// Whether the last call failed, or brought its list no further.
    [[nodiscard]] bool is_unreachable() const;
    /// Why it did, for the log; empty if it did not.
    [[nodiscard]] const std::string& failure_cause() const;
    /// The latest time at which the view was known to be the store's newest.
    [[nodiscard]] absl::Time confirmed_at() const;
    /// Up to where the collection is known.
    [[nodiscard]] collection_revision revision() const;

private:
    bool on_page(absl::Time now, const list_page& page, std::uint64_t epoch);
    bool on_changes(absl::Time now, const change_list& changes);
    void on_failure(absl::Time now, const std::string& cause);
    void record_answer(absl::Time now);
    void restart_list();
    /// Adds a page of the initial list to the view as soon as it arrives: a few
    /// servers are better than none while hundreds of pages are read.
    bool apply_initial_page(const list_page& page);
    bool finish_list(absl::Time now);
    /// Turns to the epoch of the list: keeps nothing of the earlier one but
    /// what the writers may store again.
    void begin_epoch(absl::Time now);
    bool apply(absl::Time now, const std::vector<object_change>& changes,
               std::uint64_t known_at);
    bool apply_snapshot(absl::Time now, const collection_update& update);
    void remove(absl::Time now, const std::string& name);
    [[nodiscard]] absl::Duration next_backoff(absl::Time now) const;
    [[nodiscard]] absl::Time next_fallback() const;
    bool put(const stored_object& object);

    follower_settings settings_;
    collection_view view_;
    /// The list in progress.
    paged_list list_;
    std::uint64_t list_revision_ = 0;
    std::uint64_t list_epoch_ = 0;
    std::uint64_t watch_revision_ = 0;
    /// Era of the view when the pending call was sent.
    std::uint64_t call_epoch_ = 0;
    /// Highest revision of a change that was applied.
    std::uint64_t last_change_revision_ = 0;
    deletion_log deletions_;
    relay_role role_;
    bool is_listing_ = true;
    bool is_synced_ = false;
    bool is_unreachable_ = false;
    std::string failure_cause_;
    std::uint32_t failure_count_ = 0;
    absl::Time next_call_at_ = absl::InfinitePast();
    absl::Time reachable_since_ = absl::InfinitePast();
    absl::Time confirmed_at_ = absl::InfinitePast();
    /// When the pending call was sent.
    absl::Time call_started_at_ = absl::InfiniteFuture();
    /// When the last call was sent, pending or not.
    absl::Time last_call_at_ = absl::InfinitePast();
    /// When the first page of the last list was asked for.
    absl::Time list_started_at_ = absl::InfinitePast();
    /// End of the first list.
    absl::Time synced_at_ = absl::InfinitePast();
};

} // namespace oriolefall::follow

#endif

#ifndef ORIOLEFALL_FOLLOW_COLLECTION_FOLLOWER_HPP
#define ORIOLEFALL_FOLLOW_COLLECTION_FOLLOWER_HPP

#include "oriolefall/follow/stored_object.hpp"

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
    /// Timeout of a watch call. It is long because each call is billed; TCP
    /// keep-alive probes detect a dead connection much earlier.
    absl::Duration watch_timeout = absl::Seconds(6);
    /// Timeout of watch calls while the store is unreachable; short, so that
    /// its recovery is detected soon.
    absl::Duration recovery_watch_timeout = absl::Milliseconds(500);
    /// Delay before the next watch after changes were received, so that
    /// changes in quick succession are fetched together.
    absl::Duration batch_delay = absl::Milliseconds(250);
    absl::Duration initial_backoff = absl::Milliseconds(100);
    absl::Duration max_backoff = absl::Milliseconds(800);
    /// Time after the recovery of the store for which removed objects are
    /// retained as stale, since their writers may store them again.
    absl::Duration stale_timeout = absl::Milliseconds(2200);
    std::strong_ordering operator<=>(const follower_settings&) const = default;
};

/// The known objects of a collection.
struct collection_view
{
    std::map<std::string, stored_object> objects;
    /// Objects that were removed while the store was unreachable or shortly
    /// after its recovery; they may reappear.
    std::map<std::string, stored_object> stale;
    auto operator<=>(const collection_view&) const = default;
};

/// Tracks one collection by list and watch. A state machine without I/O or
/// clock. An older revision never replaces a newer one. Not thread-safe.
class collection_follower
{
public:
    explicit collection_follower(follower_settings settings);

    /// The next call and the earliest time at which to start it.
    [[nodiscard]] std::pair<read_call, absl::Time> next_call() const;
    /// Processes the result of that call. Returns whether the view changed.
    bool on_result(absl::Time now, const call_result& result);
    /// Removes stale objects that are due. Returns whether the view changed.
    bool expire_stale(absl::Time now);
    /// When `expire_stale` is due; infinite without stale objects and while the
    /// store is unreachable.
    [[nodiscard]] absl::Time next_expiry() const;

    /// Whether the collection has been listed completely at least once.
    [[nodiscard]] bool is_synced() const;
    [[nodiscard]] const collection_view& view() const;
    /// Whether the last call failed.
    [[nodiscard]] bool is_unreachable() const;

private:
    bool on(absl::Time now, const list_page& page);
    bool on(absl::Time now, const change_list& changes);
    bool on(absl::Time now, const history_gone& gone);
    bool on(absl::Time now, const call_failed& failure);
    void record_answer(absl::Time now);
    /// Adds a page of the initial list to the view as soon as it arrives: a few
    /// servers are better than none while hundreds of pages are read.
    bool apply_initial_page(const list_page& page);
    bool finish_list(absl::Time now);
    void remove(absl::Time now, const std::string& name);
    bool put(const stored_object& object);

    follower_settings settings_;
    collection_view view_;
    /// Objects of the list in progress.
    std::map<std::string, stored_object> listed_;
    std::string list_cursor_;
    std::uint64_t list_revision_ = 0;
    std::uint64_t watch_revision_ = 0;
    bool is_listing_ = true;
    bool is_synced_ = false;
    bool is_unreachable_ = false;
    std::uint32_t failure_count_ = 0;
    absl::Time next_call_at_ = absl::InfinitePast();
    absl::Time reachable_since_ = absl::InfinitePast();
};

} // namespace oriolefall::follow

#endif

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
    /// Longest wait of one watch. Each call is paid for; a connection that went
    /// silent is found out by probes long before.
    absl::Duration watch_wait = absl::Seconds(6);
    /// The first watch after the store was away: shows soon that it is back.
    absl::Duration first_wait = absl::Milliseconds(500);
    /// Pause after changes came, so that those that come together are told
    /// together.
    absl::Duration gather_time = absl::Milliseconds(250);
    absl::Duration first_backoff = absl::Milliseconds(100);
    absl::Duration longest_backoff = absl::Milliseconds(800);
    /// Objects that were removed while the store was away may be back until
    /// this time after its return.
    absl::Duration doubt_time = absl::Milliseconds(2200);
    std::strong_ordering operator<=>(const follower_settings&) const = default;
};

/// What a collection holds, as far as known.
struct collection_view
{
    std::map<std::string, stored_object> objects;
    /// Objects that the store no longer names, but that may be back: they
    /// were removed while the store was away.
    std::map<std::string, stored_object> doubtful;
    auto operator<=>(const collection_view&) const = default;
};

/// Follows one collection by list and watch. A state machine: no input or
/// output and no clock. Never takes an older revision of an object for a newer
/// one. One thread.
class collection_follower
{
public:
    explicit collection_follower(follower_settings settings);

    /// The call to make next, and not before when.
    [[nodiscard]] std::pair<read_call, absl::Time> next_call() const;
    /// Takes the result of that call. True when the view has changed.
    bool take(absl::Time now, const call_result& result);
    /// Drops what is in doubt for too long. True when the view has changed.
    bool expire(absl::Time now);
    /// When `expire` is due; infinite when nothing is in doubt.
    [[nodiscard]] absl::Time next_expiry() const;

    /// False until the collection was read whole once.
    [[nodiscard]] bool is_known() const;
    [[nodiscard]] const collection_view& view() const;
    /// The last call failed.
    [[nodiscard]] bool is_away() const;

private:
    bool on(absl::Time now, const list_page& page);
    bool on(absl::Time now, const change_list& changes);
    bool on(absl::Time now, const history_gone& gone);
    bool on(absl::Time now, const call_failed& failure);
    void note_answer(absl::Time now);
    /// Until the collection was read whole once, each page is shown as it
    /// comes: a few servers are better than none while hundreds of pages are
    /// read.
    bool show_first(const list_page& page);
    bool finish_list(absl::Time now);
    void remove(absl::Time now, const std::string& name);
    bool put(const stored_object& object);

    follower_settings settings_;
    collection_view view_;
    /// Objects of the list under way.
    std::map<std::string, stored_object> listed_;
    std::string list_after_;
    std::uint64_t list_revision_ = 0;
    std::uint64_t revision_ = 0;
    bool listing_ = true;
    bool known_ = false;
    bool away_ = false;
    std::uint32_t failures_ = 0;
    absl::Time not_before_ = absl::InfinitePast();
    absl::Time back_at_ = absl::InfinitePast();
};

} // namespace oriolefall::follow

#endif

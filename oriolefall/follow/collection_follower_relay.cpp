#include "oriolefall/follow/collection_follower.hpp"

#include <algorithm>
#include <iterator>

// How a view is kept current by peers, and passed on to them.
namespace oriolefall::follow {

absl::Time collection_follower::next_fallback() const
{
    return std::max(confirmed_at_ + settings_.relay_timeout,
                    synced_at_ + settings_.initial_relay_timeout);
}

void collection_follower::on_path_confirmed(
    absl::Time sent_at, std::optional<std::uint64_t> named_epoch)
{
    if (role_ == relay_role::watcher && !is_listing_ && !is_unreachable_ &&
        named_epoch.value_or(view_.epoch) == view_.epoch &&
        call_started_at_ <= sent_at)
        confirmed_at_ = std::max(confirmed_at_, sent_at);
}

bool collection_follower::on_relayed(absl::Time now, absl::Time asked_at,
                                     const collection_update& update)
{
    const bool is_same_epoch = update.epoch == view_.epoch;
    // A peer that lacks a change which is known here confirms nothing.
    if (update.epoch < view_.epoch ||
        (is_same_epoch && update.revision < last_change_revision_))
        return false;
    const bool follows_view =
        is_synced_ && is_same_epoch && update.from_revision <= watch_revision_;
    if (!update.is_snapshot && !follows_view)
        return false;
    if (update.reachable_for < absl::InfiniteDuration())
        reachable_since_ =
            std::max(reachable_since_, now - update.reachable_for);
    bool has_changed = false;
    if (!is_same_epoch || update.revision > watch_revision_) {
        has_changed = update.is_snapshot
                          ? apply_snapshot(now, update)
                          : apply(now, update.changes, update.revision);
        watch_revision_ = update.revision;
        is_listing_ = false;
    }
    const absl::Time confirmed_at = asked_at - update.age;
    confirmed_at_ = std::max(confirmed_at_, confirmed_at);
    if (role_ == relay_role::follower &&
        now - confirmed_at < settings_.relay_timeout)
        record_answer(now);
    return has_changed;
}

collection_update
collection_follower::update_since(absl::Time now,
                                  const collection_revision& known) const
{
    collection_update update;
    update.collection = settings_.collection;
    update.from_revision = known.revision;
    update.revision = watch_revision_;
    update.epoch = view_.epoch;
    if (!is_synced_ || known.epoch > view_.epoch)
        return update;
    update.age = now - confirmed_at_;
    update.reachable_for = now - reachable_since_;
    const bool is_same_epoch = known.epoch == view_.epoch;
    if (is_same_epoch && known.revision >= watch_revision_)
        return update;
    update.is_snapshot = !is_same_epoch || !deletions_.covers(known.revision);
    for (const auto& [name, object] : view_.objects)
        if (update.is_snapshot || object.revision > known.revision)
            update.changes.push_back({object, false});
    if (!update.is_snapshot)
        std::ranges::copy_if(deletions_.since(known.revision),
                             std::back_inserter(update.changes),
                             [this](const object_change& deletion) {
                                 return !view_.objects.contains(
                                     deletion.object.name);
                             });
    return update;
}

bool collection_follower::apply_snapshot(absl::Time now,
                                         const collection_update& update)
{
    list_page snapshot;
    std::ranges::transform(update.changes, std::back_inserter(snapshot.objects),
                           &object_change::object);
    list_.restart();
    static_cast<void>(list_.add(snapshot));
    list_revision_ = update.revision;
    list_epoch_ = update.epoch;
    return finish_list(now);
}

} // namespace oriolefall::follow

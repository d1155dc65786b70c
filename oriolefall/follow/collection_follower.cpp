#include "oriolefall/follow/collection_follower.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::follow {

namespace {

constexpr std::uint32_t max_doublings = 6;
/// Deletions that are kept for peers. A peer that lacks older ones is sent the
/// whole collection.
constexpr std::size_t max_logged_deletions = 2048;

} // namespace

collection_follower::collection_follower(follower_settings settings)
    : settings_(std::move(settings)), deletions_(max_logged_deletions),
      role_(settings_.initial_role)
{
}

std::pair<read_call, absl::Time> collection_follower::next_call() const
{
    if (is_listing_)
        return {list_call{settings_.collection, list_cursor_,
                          settings_.may_start_stale && !is_synced_},
                next_call_at_};
    const watch_call watch{settings_.collection, watch_revision_,
                           is_unreachable_ ? settings_.recovery_watch_timeout
                                           : settings_.watch_timeout};
    if (role_ != relay_role::follower)
        return {watch, next_call_at_};
    return {watch, std::max(next_call_at_, next_fallback())};
}

absl::Time collection_follower::next_fallback() const
{
    return std::max(confirmed_at_ + settings_.relay_timeout,
                    synced_at_ + settings_.initial_relay_timeout);
}

void collection_follower::set_role(relay_role role)
{
    role_ = role;
}

void collection_follower::on_path_confirmed(absl::Time sent_at)
{
    if (role_ == relay_role::watcher && !is_listing_ && !is_unreachable_ &&
        call_started_at_ <= sent_at)
        confirmed_at_ = std::max(confirmed_at_, sent_at);
}

bool collection_follower::on_relayed(absl::Time now, absl::Time asked_at,
                                     const collection_update& update)
{
    // A peer that lacks a change which is known here confirms nothing.
    if (update.revision < last_change_revision_ ||
        (!update.is_snapshot && update.from_revision > watch_revision_))
        return false;
    if (!is_synced_ && !update.is_snapshot)
        return false;
    if (update.reachable_for < absl::InfiniteDuration())
        reachable_since_ =
            std::max(reachable_since_, now - update.reachable_for);
    bool has_changed = false;
    if (update.revision > watch_revision_) {
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
collection_follower::update_since(absl::Time now, std::uint64_t revision) const
{
    collection_update update;
    update.collection = settings_.collection;
    update.from_revision = revision;
    update.revision = watch_revision_;
    if (!is_synced_)
        return update;
    update.age = now - confirmed_at_;
    update.reachable_for = now - reachable_since_;
    if (revision >= watch_revision_)
        return update;
    update.is_snapshot = !deletions_.covers(revision);
    for (const auto& [name, object] : view_.objects)
        if (update.is_snapshot || object.revision > revision)
            update.changes.push_back({object, false});
    if (!update.is_snapshot)
        std::ranges::copy_if(
            deletions_.since(revision), std::back_inserter(update.changes),
            [this](const object_change& deletion) {
                return !view_.objects.contains(deletion.object.name);
            });
    return update;
}

void collection_follower::on_call_started(absl::Time now)
{
    call_started_at_ = now;
}

bool collection_follower::on_result(absl::Time now, const call_result& result)
{
    call_started_at_ = absl::InfiniteFuture();
    return std::visit([&](const auto& value) { return on(now, value); },
                      result);
}

bool collection_follower::expire_stale(absl::Time now)
{
    if (now < next_expiry())
        return false;
    view_.stale.clear();
    return true;
}

absl::Time collection_follower::next_expiry() const
{
    // While the store is unreachable it is unknown which objects still exist.
    if (view_.stale.empty() || is_unreachable_)
        return absl::InfiniteFuture();
    return reachable_since_ + settings_.stale_timeout;
}

bool collection_follower::is_synced() const
{
    return is_synced_;
}

const collection_view& collection_follower::view() const
{
    return view_;
}

bool collection_follower::is_unreachable() const
{
    return is_unreachable_;
}

absl::Time collection_follower::confirmed_at() const
{
    return confirmed_at_;
}

std::uint64_t collection_follower::revision() const
{
    return watch_revision_;
}

void collection_follower::record_answer(absl::Time now)
{
    if (is_unreachable_)
        reachable_since_ = now;
    is_unreachable_ = false;
    failure_count_ = 0;
    next_call_at_ = absl::InfinitePast();
}

bool collection_follower::on(absl::Time now, const list_page& page)
{
    record_answer(now);
    if (!is_listing_)
        return false;
    // Pages may have different revisions; the watch starts from the first one.
    if (list_cursor_.empty())
        list_revision_ = page.revision;
    for (const stored_object& object : page.objects)
        listed_.insert_or_assign(object.name, object);
    if (page.has_more && !page.objects.empty()) {
        list_cursor_ = page.objects.back().name;
        return apply_initial_page(page);
    }
    if (listed_.empty() && settings_.may_start_stale && !is_synced_) {
        next_call_at_ = now + settings_.empty_list_delay;
        return false;
    }
    return finish_list(now);
}

bool collection_follower::apply_initial_page(const list_page& page)
{
    if (is_synced_)
        return false;
    for (const stored_object& object : page.objects)
        put(object);
    return true;
}

bool collection_follower::finish_list(absl::Time now)
{
    const collection_view before = view_;
    std::vector<std::string> removed;
    for (const auto& [name, object] : view_.objects)
        if (!listed_.contains(name))
            removed.push_back(name);
    for (const std::string& name : removed)
        remove(now, {name, list_revision_, {}}, list_revision_);
    for (const auto& [name, object] : listed_)
        put(object);
    listed_.clear();
    list_cursor_.clear();
    is_listing_ = false;
    watch_revision_ = std::max(watch_revision_, list_revision_);
    const bool is_first = !std::exchange(is_synced_, true);
    if (is_first) {
        synced_at_ = now;
        deletions_.restart(list_revision_);
    }
    return is_first || view_ != before;
}

bool collection_follower::on(absl::Time now, const change_list& changes)
{
    record_answer(now);
    confirmed_at_ = now;
    const bool has_changed = apply(now, changes.changes, changes.revision);
    watch_revision_ = std::max(watch_revision_, changes.revision);
    if (!changes.changes.empty())
        next_call_at_ =
            now + (role_ == relay_role::watcher ? settings_.watcher_batch_delay
                                                : settings_.batch_delay);
    return has_changed;
}

bool collection_follower::apply(absl::Time now,
                                const std::vector<object_change>& changes,
                                std::uint64_t known_at)
{
    bool has_changed = false;
    for (const object_change& change : changes) {
        const stored_object& object = change.object;
        last_change_revision_ =
            std::max(last_change_revision_, object.revision);
        if (!change.is_deleted) {
            has_changed = put(object) || has_changed;
            continue;
        }
        const auto current = view_.objects.find(object.name);
        if (current == view_.objects.end() ||
            current->second.revision > object.revision)
            continue;
        remove(now, object, known_at);
        has_changed = true;
    }
    return has_changed;
}

bool collection_follower::apply_snapshot(absl::Time now,
                                         const collection_update& update)
{
    listed_.clear();
    for (const object_change& change : update.changes)
        listed_.insert_or_assign(change.object.name, change.object);
    list_revision_ = update.revision;
    return finish_list(now);
}

bool collection_follower::on(absl::Time now, const history_gone&)
{
    record_answer(now);
    is_listing_ = true;
    list_cursor_.clear();
    listed_.clear();
    return false;
}

bool collection_follower::on(absl::Time now, const call_failed&)
{
    is_unreachable_ = true;
    next_call_at_ = now + next_backoff(now);
    ++failure_count_;
    return false;
}

absl::Duration collection_follower::next_backoff(absl::Time now) const
{
    // The first failure may be that of the connection alone.
    if (failure_count_ > 0 && role_ != relay_role::independent &&
        now - confirmed_at_ < settings_.relay_timeout)
        return settings_.relayed_backoff;
    const auto doublings = std::min(failure_count_, max_doublings);
    return std::min(settings_.max_backoff,
                    settings_.initial_backoff * (1U << doublings));
}

void collection_follower::remove(absl::Time now, const stored_object& deleted,
                                 std::uint64_t known_at)
{
    const auto current = view_.objects.find(deleted.name);
    if (current == view_.objects.end())
        return;
    if (now < reachable_since_ + settings_.stale_timeout)
        view_.stale.insert_or_assign(deleted.name, current->second);
    view_.objects.erase(current);
    deletions_.record({{deleted.name, deleted.revision, {}}, true}, known_at);
}

bool collection_follower::put(const stored_object& object)
{
    view_.stale.erase(object.name);
    const auto current = view_.objects.find(object.name);
    if (current != view_.objects.end() &&
        current->second.revision >= object.revision)
        return false;
    last_change_revision_ = std::max(last_change_revision_, object.revision);
    view_.objects.insert_or_assign(object.name, object);
    return true;
}

} // namespace oriolefall::follow

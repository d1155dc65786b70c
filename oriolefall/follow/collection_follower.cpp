#include "oriolefall/follow/collection_follower.hpp"

#include "oriolefall/follow/lost_changes.hpp"

#include <algorithm>

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
        return {list_call{settings_.collection, list_.cursor(),
                          settings_.may_start_stale && !is_synced_},
                next_call_at_};
    const watch_call watch{settings_.collection, watch_revision_,
                           is_unreachable_ ? settings_.recovery_watch_timeout
                                           : settings_.watch_timeout};
    if (role_ != relay_role::follower)
        return {watch, next_call_at_};
    return {watch, std::max(next_call_at_, next_fallback())};
}

void collection_follower::set_role(relay_role role)
{
    role_ = role;
}

void collection_follower::on_call_started(absl::Time now)
{
    call_started_at_ = now;
    last_call_at_ = now;
    if (is_listing_ && list_.cursor().empty())
        list_started_at_ = now;
    call_epoch_ = view_.epoch;
}

bool collection_follower::on_result(absl::Time now, const call_result& result,
                                    std::optional<std::uint64_t> named_epoch)
{
    const std::uint64_t epoch = named_epoch.value_or(view_.epoch);
    call_started_at_ = absl::InfiniteFuture();
    if (const auto* failed = std::get_if<call_failed>(&result)) {
        on_failure(now, failed->cause);
        return false;
    }
    record_answer(now);
    if (epoch < view_.epoch) {
        if (is_listing_)
            restart_list();
        next_call_at_ = now + settings_.relist_delay;
        return false;
    }
    if (const auto* page = std::get_if<list_page>(&result))
        return on_page(now, *page, epoch);
    if (epoch > view_.epoch) {
        restart_list();
        return false;
    }
    // The call was made in an earlier epoch than the one that a peer told of.
    if (call_epoch_ != view_.epoch)
        return false;
    if (const auto* changes = std::get_if<change_list>(&result))
        return on_changes(now, *changes);
    restart_list();
    return false;
}

bool collection_follower::expire(absl::Time now)
{
    if (now < next_expiry())
        return false;
    if (now >= reachable_since_ + settings_.stale_timeout)
        view_.stale.clear();
    if (now >= reachable_since_ + settings_.lost_change_timeout)
        view_.lost_changes.clear();
    return true;
}

absl::Time collection_follower::next_expiry() const
{
    // While the store is unreachable it is unknown which objects still exist.
    if (is_unreachable_)
        return absl::InfiniteFuture();
    if (!view_.stale.empty())
        return reachable_since_ + settings_.stale_timeout;
    if (!view_.lost_changes.empty())
        return reachable_since_ + settings_.lost_change_timeout;
    return absl::InfiniteFuture();
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

const std::string& collection_follower::failure_cause() const
{
    return failure_cause_;
}

absl::Time collection_follower::confirmed_at() const
{
    return confirmed_at_;
}

collection_revision collection_follower::revision() const
{
    return {settings_.collection, watch_revision_, view_.epoch};
}

void collection_follower::record_answer(absl::Time now)
{
    if (is_unreachable_)
        reachable_since_ = now;
    is_unreachable_ = false;
    failure_cause_.clear();
    failure_count_ = 0;
    next_call_at_ = absl::InfinitePast();
}

void collection_follower::restart_list()
{
    is_listing_ = true;
    list_.restart();
    // A store whose lists and watches contradict each other would be listed
    // without end.
    next_call_at_ =
        std::max(next_call_at_, list_started_at_ + settings_.relist_delay);
}

bool collection_follower::on_page(absl::Time now, const list_page& page,
                                  std::uint64_t epoch)
{
    if (!is_listing_)
        return false;
    // Pages may have different revisions; the watch starts from the first one.
    if (list_.cursor().empty()) {
        list_revision_ = page.revision;
        list_epoch_ = epoch;
    } else if (epoch != list_epoch_) {
        restart_list();
        return false;
    }
    const list_progress progress = list_.add(page);
    if (progress == list_progress::stalled) {
        on_failure(now, stalled_list_cause);
        restart_list();
        return false;
    }
    if (progress == list_progress::more)
        return apply_initial_page(page);
    if (list_.objects().empty() && settings_.may_start_stale && !is_synced_) {
        next_call_at_ = now + settings_.relist_delay;
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
    if (list_epoch_ != view_.epoch)
        begin_epoch(now);
    std::vector<std::string> removed;
    for (const auto& [name, object] : view_.objects)
        if (!list_.objects().contains(name))
            removed.push_back(name);
    for (const std::string& name : removed) {
        deletions_.record({{name, list_revision_, {}}, true}, list_revision_);
        remove(now, name);
    }
    for (const auto& [name, object] : list_.objects())
        put(object);
    list_.restart();
    is_listing_ = false;
    watch_revision_ = std::max(watch_revision_, list_revision_);
    const bool is_first = !std::exchange(is_synced_, true);
    if (is_first) {
        synced_at_ = now;
        deletions_.restart(list_revision_);
    }
    return is_first || view_ != before;
}

void collection_follower::begin_epoch(absl::Time now)
{
    // Of several restores the changes lost by the first may still be missing.
    view_.lost_changes.merge(
        find_lost_changes(view_.objects, deletions_.since(0), list_.objects()));
    for (auto& [name, object] : view_.objects)
        if (!list_.objects().contains(name))
            view_.stale.insert_or_assign(name, std::move(object));
    view_.objects.clear();
    view_.epoch = list_epoch_;
    watch_revision_ = 0;
    last_change_revision_ = 0;
    deletions_.restart(list_revision_);
    if (is_synced_)
        reachable_since_ = now;
}

bool collection_follower::on_changes(absl::Time now, const change_list& changes)
{
    confirmed_at_ = now;
    const bool has_changed = apply(now, changes.changes, changes.revision);
    watch_revision_ = std::max(watch_revision_, changes.revision);
    if (changes.changes.empty())
        next_call_at_ = last_call_at_ + settings_.batch_delay;
    else
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
        view_.lost_changes.erase(object.name);
        if (!change.is_deleted) {
            has_changed = put(object) || has_changed;
            continue;
        }
        // Also of an object that was never known here: peers may have it.
        deletions_.record({{object.name, object.revision, {}}, true}, known_at);
        const auto current = view_.objects.find(object.name);
        if (current == view_.objects.end() ||
            current->second.revision > object.revision)
            continue;
        remove(now, object.name);
        has_changed = true;
    }
    return has_changed;
}

void collection_follower::on_failure(absl::Time now, const std::string& cause)
{
    is_unreachable_ = true;
    failure_cause_ = cause;
    next_call_at_ = now + next_backoff(now);
    ++failure_count_;
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

void collection_follower::remove(absl::Time now, const std::string& name)
{
    const auto current = view_.objects.find(name);
    if (current == view_.objects.end())
        return;
    if (now < reachable_since_ + settings_.stale_timeout)
        view_.stale.insert_or_assign(name, current->second);
    view_.objects.erase(current);
}

bool collection_follower::put(const stored_object& object)
{
    // An answer that was on its way while a peer told of the deletion.
    if (deletions_.is_deleted(object))
        return false;
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

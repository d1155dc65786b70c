#include "oriolefall/follow/collection_follower.hpp"

#include <algorithm>

namespace oriolefall::follow {

namespace {

constexpr std::uint32_t max_doublings = 6;

} // namespace

collection_follower::collection_follower(follower_settings settings)
    : settings_(std::move(settings))
{
}

std::pair<read_call, absl::Time> collection_follower::next_call() const
{
    if (is_listing_)
        return {list_call{settings_.collection, list_cursor_, false},
                next_call_at_};
    const absl::Duration timeout = is_unreachable_
                                       ? settings_.recovery_watch_timeout
                                       : settings_.watch_timeout;
    return {watch_call{settings_.collection, watch_revision_, timeout},
            next_call_at_};
}

bool collection_follower::on_result(absl::Time now, const call_result& result)
{
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
        remove(now, name);
    for (const auto& [name, object] : listed_)
        put(object);
    listed_.clear();
    list_cursor_.clear();
    is_listing_ = false;
    watch_revision_ = list_revision_;
    const bool is_first = !std::exchange(is_synced_, true);
    return is_first || view_ != before;
}

bool collection_follower::on(absl::Time now, const change_list& changes)
{
    record_answer(now);
    bool has_changed = false;
    for (const object_change& change : changes.changes) {
        const auto current = view_.objects.find(change.object.name);
        if (!change.is_deleted) {
            has_changed = put(change.object) || has_changed;
        } else if (current != view_.objects.end() &&
                   current->second.revision <= change.object.revision) {
            remove(now, change.object.name);
            has_changed = true;
        }
    }
    watch_revision_ = std::max(watch_revision_, changes.revision);
    if (!changes.changes.empty())
        next_call_at_ = now + settings_.batch_delay;
    return has_changed;
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
    const auto doublings = std::min(failure_count_, max_doublings);
    const absl::Duration backoff = std::min(
        settings_.max_backoff, settings_.initial_backoff * (1U << doublings));
    ++failure_count_;
    next_call_at_ = now + backoff;
    return false;
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
    view_.stale.erase(object.name);
    const auto current = view_.objects.find(object.name);
    if (current != view_.objects.end() &&
        current->second.revision >= object.revision)
        return false;
    view_.objects.insert_or_assign(object.name, object);
    return true;
}

} // namespace oriolefall::follow

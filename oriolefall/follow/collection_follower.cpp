#include "oriolefall/follow/collection_follower.hpp"

#include <algorithm>

namespace oriolefall::follow {

namespace {

constexpr std::uint32_t most_doublings = 6;

} // namespace

collection_follower::collection_follower(follower_settings settings)
    : settings_(std::move(settings))
{
}

std::pair<read_call, absl::Time> collection_follower::next_call() const
{
    if (listing_)
        return {list_call{settings_.collection, list_after_, false},
                not_before_};
    const absl::Duration wait =
        away_ ? settings_.first_wait : settings_.watch_wait;
    return {watch_call{settings_.collection, revision_, wait}, not_before_};
}

bool collection_follower::take(absl::Time now, const call_result& result)
{
    return std::visit([&](const auto& value) { return on(now, value); },
                      result);
}

bool collection_follower::expire(absl::Time now)
{
    if (now < next_expiry())
        return false;
    view_.doubtful.clear();
    return true;
}

absl::Time collection_follower::next_expiry() const
{
    // While the store is away nothing is known of what it removed.
    if (view_.doubtful.empty() || away_)
        return absl::InfiniteFuture();
    return back_at_ + settings_.doubt_time;
}

bool collection_follower::is_known() const
{
    return known_;
}

const collection_view& collection_follower::view() const
{
    return view_;
}

bool collection_follower::is_away() const
{
    return away_;
}

void collection_follower::note_answer(absl::Time now)
{
    if (away_)
        back_at_ = now;
    away_ = false;
    failures_ = 0;
    not_before_ = absl::InfinitePast();
}

bool collection_follower::on(absl::Time now, const list_page& page)
{
    note_answer(now);
    if (!listing_)
        return false;
    // Pages may be of different revisions: the watch goes on from the first.
    if (list_after_.empty())
        list_revision_ = page.revision;
    for (const stored_object& object : page.objects)
        listed_.insert_or_assign(object.name, object);
    if (page.has_more && !page.objects.empty()) {
        list_after_ = page.objects.back().name;
        return show_first(page);
    }
    return finish_list(now);
}

bool collection_follower::show_first(const list_page& page)
{
    if (known_)
        return false;
    for (const stored_object& object : page.objects)
        put(object);
    return true;
}

bool collection_follower::finish_list(absl::Time now)
{
    const collection_view before = view_;
    std::vector<std::string> missing;
    for (const auto& [name, object] : view_.objects)
        if (!listed_.contains(name))
            missing.push_back(name);
    for (const std::string& name : missing)
        remove(now, name);
    for (const auto& [name, object] : listed_)
        put(object);
    listed_.clear();
    list_after_.clear();
    listing_ = false;
    revision_ = list_revision_;
    const bool is_first = !std::exchange(known_, true);
    return is_first || view_ != before;
}

bool collection_follower::on(absl::Time now, const change_list& changes)
{
    note_answer(now);
    bool changed = false;
    for (const object_change& change : changes.changes) {
        const auto held = view_.objects.find(change.object.name);
        if (!change.deleted) {
            changed = put(change.object) || changed;
        } else if (held != view_.objects.end() &&
                   held->second.revision <= change.object.revision) {
            remove(now, change.object.name);
            changed = true;
        }
    }
    revision_ = std::max(revision_, changes.revision);
    if (!changes.changes.empty())
        not_before_ = now + settings_.gather_time;
    return changed;
}

bool collection_follower::on(absl::Time now, const history_gone&)
{
    note_answer(now);
    listing_ = true;
    list_after_.clear();
    listed_.clear();
    return false;
}

bool collection_follower::on(absl::Time now, const call_failed&)
{
    away_ = true;
    const auto doublings = std::min(failures_, most_doublings);
    const absl::Duration pause = std::min(
        settings_.longest_backoff, settings_.first_backoff * (1U << doublings));
    ++failures_;
    not_before_ = now + pause;
    return false;
}

void collection_follower::remove(absl::Time now, const std::string& name)
{
    const auto held = view_.objects.find(name);
    if (held == view_.objects.end())
        return;
    if (now < back_at_ + settings_.doubt_time)
        view_.doubtful.insert_or_assign(name, held->second);
    view_.objects.erase(held);
}

bool collection_follower::put(const stored_object& object)
{
    view_.doubtful.erase(object.name);
    const auto held = view_.objects.find(object.name);
    if (held != view_.objects.end() && held->second.revision >= object.revision)
        return false;
    view_.objects.insert_or_assign(object.name, object);
    return true;
}

} // namespace oriolefall::follow

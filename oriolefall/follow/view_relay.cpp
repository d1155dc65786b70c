#include "oriolefall/follow/view_relay.hpp"

#include <algorithm>
#include <numeric>

namespace oriolefall::follow {

namespace {

/// Queries whose answers are still accepted.
constexpr std::size_t max_pending_queries = 8;

std::size_t value_bytes(const collection_update& update)
{
    return std::accumulate(
        update.changes.begin(), update.changes.end(), std::size_t{0},
        [](std::size_t sum, const object_change& change) {
            return sum + change.object.name.size() + change.object.value.size();
        });
}

} // namespace

view_relay::view_relay(relay_settings settings, relay_role initial_role,
                       named_followers followers)
    : settings_(settings), followers_(std::move(followers)), role_(initial_role)
{
}

void view_relay::assign(absl::Time now, relay_assignment assignment)
{
    if (assigned_at_ == absl::InfiniteFuture() ||
        assignment.role != assigned_.role)
        assigned_at_ = now;
    assigned_ = std::move(assignment);
}

bool view_relay::update_role(absl::Time now)
{
    const absl::Duration delay = assigned_.role == relay_role::independent
                                     ? settings_.independent_role_delay
                                     : settings_.role_delay;
    if (assigned_.role == role_ || now < assigned_at_ + delay)
        return false;
    role_ = assigned_.role;
    for (const auto& [name, follower] : followers_)
        follower->set_role(role_);
    return true;
}

relay_role view_relay::role() const
{
    return role_;
}

std::pair<core::instance_id, view_query> view_relay::next_query(absl::Time now)
{
    if (assigned_.watchers.empty() || now < next_query_at_)
        return {};
    next_query_at_ = now + settings_.query_interval;
    view_query query;
    query.query_id = next_query_id_++;
    for (const auto& [name, follower] : followers_)
        query.collections.push_back(follower->revision());
    sent_at_.emplace(query.query_id, now);
    if (sent_at_.size() > max_pending_queries)
        sent_at_.erase(sent_at_.begin());
    const auto& watchers = assigned_.watchers;
    return {watchers[next_watcher_++ % watchers.size()], std::move(query)};
}

view_update view_relay::answer(absl::Time now, const view_query& query) const
{
    view_update update;
    update.query_id = query.query_id;
    std::size_t bytes = 0;
    for (const collection_revision& asked : query.collections) {
        const auto found = followers_.find(asked.collection);
        if (found == followers_.end())
            continue;
        auto known = found->second->update_since(now, asked);
        bytes += value_bytes(known);
        if (bytes > settings_.max_update_bytes)
            break;
        update.collections.push_back(std::move(known));
    }
    return update;
}

std::vector<std::string> view_relay::on_update(absl::Time now,
                                               const view_update& update)
{
    std::vector<std::string> changed;
    const auto sent = sent_at_.find(update.query_id);
    if (sent == sent_at_.end())
        return changed;
    const absl::Time asked_at = sent->second;
    sent_at_.erase(sent);
    for (const collection_update& each : update.collections) {
        const auto found = followers_.find(each.collection);
        if (found != followers_.end() &&
            found->second->on_relayed(now, asked_at, each))
            changed.push_back(each.collection);
    }
    return changed;
}

} // namespace oriolefall::follow

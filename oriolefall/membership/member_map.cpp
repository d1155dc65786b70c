#include "oriolefall/membership/member_map.hpp"

#include <algorithm>
#include <cassert>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace oriolefall::membership {

member_map::member_map(std::size_t max_members) : max_members_(max_members)
{
    assert(max_members_ > 0);
}

std::optional<std::optional<member>> member_map::merge(absl::Time now,
                                                       const member& received)
{
    const auto found = records_.find(received.id);
    if (found == records_.end()) {
        if (!participates_in_gossip(received) ||
            records_.size() >= max_members_)
            return std::nullopt;
        records_.emplace(received.id, record{received, now});
        toggle_in_digest(received);
        return std::optional<member>();
    }
    record& stored = found->second;
    if (!supersedes(received, stored.value))
        return std::nullopt;
    member next = received;
    if (received.incarnation == stored.value.incarnation) {
        next.heartbeat = stored.value.heartbeat;
        next.settings_digest = stored.value.settings_digest;
    }
    toggle_in_digest(stored.value);
    toggle_in_digest(next);
    stored.state_since = now;
    return std::exchange(stored.value, std::move(next));
}

void member_map::record_heartbeat(const core::instance_id& id,
                                  std::uint64_t counter,
                                  std::uint64_t settings_digest)
{
    const auto found = records_.find(id);
    if (found == records_.end() || counter < found->second.value.heartbeat)
        return;
    found->second.value.heartbeat = counter;
    found->second.value.settings_digest = settings_digest;
}

std::vector<core::instance_id> member_map::remove_dead(absl::Time limit)
{
    std::vector<core::instance_id> removed;
    for (const member& dead : in_state_since(member_state::dead, limit)) {
        records_.erase(dead.id);
        removed.push_back(dead.id);
    }
    return removed;
}

void member_map::postpone_state_times(absl::Duration pause)
{
    for (auto& [id, stored] : records_)
        stored.state_since += pause;
}

const member* member_map::find(const core::instance_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.value;
}

std::vector<member> member_map::in_state_since(member_state state,
                                               absl::Time limit) const
{
    std::vector<member> found;
    for (const auto& [id, stored] : records_) {
        if (stored.value.state == state && stored.state_since < limit)
            found.push_back(stored.value);
    }
    return found;
}

std::vector<member> member_map::all() const
{
    std::vector<member> values;
    values.reserve(records_.size());
    std::ranges::transform(
        records_, std::back_inserter(values),
        [](const auto& entry) { return entry.second.value; });
    return values;
}

std::vector<member> member_map::in_bucket(std::size_t bucket) const
{
    std::vector<member> found;
    for (const auto& [id, stored] : records_) {
        if (bucket_of(id) == bucket)
            found.push_back(stored.value);
    }
    return found;
}

const member_buckets& member_map::buckets() const
{
    return buckets_;
}

std::uint64_t member_map::digest() const
{
    return std::accumulate(buckets_.digests.begin(), buckets_.digests.end(),
                           std::uint64_t{0}, std::bit_xor<>{});
}

std::size_t member_map::size() const
{
    return records_.size();
}

void member_map::toggle_in_digest(const member& value)
{
    buckets_.digests[bucket_of(value.id)] ^= digest_of(value);
}

} // namespace oriolefall::membership

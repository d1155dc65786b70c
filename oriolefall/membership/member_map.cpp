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
                                                       const member& news)
{
    const auto at = records_.find(news.id);
    if (at == records_.end()) {
        if (!takes_part(news) || records_.size() >= max_members_)
            return std::nullopt;
        records_.emplace(news.id, record{news, now});
        flip(news);
        return std::optional<member>();
    }
    record& held = at->second;
    if (!supersedes(news, held.value))
        return std::nullopt;
    member next = news;
    if (news.incarnation == held.value.incarnation) {
        next.heartbeat = held.value.heartbeat;
        next.settings_digest = held.value.settings_digest;
    }
    flip(held.value);
    flip(next);
    held.since = now;
    return std::exchange(held.value, std::move(next));
}

void member_map::note_heartbeat(const core::instance_id& id,
                                std::uint64_t counter,
                                std::uint64_t settings_digest)
{
    const auto at = records_.find(id);
    if (at == records_.end() || counter < at->second.value.heartbeat)
        return;
    at->second.value.heartbeat = counter;
    at->second.value.settings_digest = settings_digest;
}

std::vector<core::instance_id> member_map::forget_dead(absl::Time limit)
{
    std::vector<core::instance_id> forgotten;
    for (const member& gone : held_since(member_state::dead, limit)) {
        records_.erase(gone.id);
        forgotten.push_back(gone.id);
    }
    return forgotten;
}

void member_map::excuse(absl::Duration gap)
{
    for (auto& [id, held] : records_)
        held.since += gap;
}

const member* member_map::find(const core::instance_id& id) const
{
    const auto at = records_.find(id);
    return at == records_.end() ? nullptr : &at->second.value;
}

std::vector<member> member_map::held_since(member_state state,
                                           absl::Time limit) const
{
    std::vector<member> found;
    for (const auto& [id, held] : records_) {
        if (held.value.state == state && held.since < limit)
            found.push_back(held.value);
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
    for (const auto& [id, held] : records_) {
        if (bucket_of(id) == bucket)
            found.push_back(held.value);
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

void member_map::flip(const member& value)
{
    buckets_.digests[bucket_of(value.id)] ^= digest_of(value);
}

} // namespace oriolefall::membership

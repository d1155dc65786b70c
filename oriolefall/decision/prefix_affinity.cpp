#include "oriolefall/decision/prefix_affinity.hpp"

#include <algorithm>
#include <bit>

namespace oriolefall::decision {

std::uint64_t mix_hash(std::uint64_t left, std::uint64_t right)
{
    // Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    std::uint64_t mixed = left ^ (right + 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

prefix_history::prefix_history(std::size_t entries)
    : entries_(std::bit_ceil(std::max<std::size_t>(entries, 1))),
      mask_(entries_.size() - 1)
{
}

void prefix_history::record(std::uint64_t prefix, std::uint64_t server,
                            absl::Time now)
{
    const std::uint64_t tag = mix_hash(prefix, server);
    entries_[tag & mask_] = entry{tag, now};
}

bool prefix_history::was_sent(std::uint64_t prefix, std::uint64_t server,
                              absl::Time now, absl::Duration lifetime) const
{
    const std::uint64_t tag = mix_hash(prefix, server);
    const entry& found = entries_[tag & mask_];
    return found.tag == tag && now - found.sent_at <= lifetime;
}

void rendezvous_index::clear()
{
    clusters_.clear();
}

void rendezvous_index::add(std::uint32_t server, std::uint64_t server_hash)
{
    const std::uint64_t hash = mix_hash(server_hash % cluster_count, 0);
    auto found = std::ranges::find(clusters_, hash, &cluster::hash);
    if (found == clusters_.end())
        found = clusters_.insert(found, cluster{hash, {}});
    found->members.push_back(member{server, server_hash});
}

std::optional<std::uint32_t>
rendezvous_index::select(std::uint64_t prefix) const
{
    if (clusters_.empty())
        return std::nullopt;
    const auto score = [prefix](const auto& item) {
        return mix_hash(prefix, item.hash);
    };
    const auto chosen = std::ranges::max_element(clusters_, {}, score);
    return std::ranges::max_element(chosen->members, {}, score)->server;
}

} // namespace oriolefall::decision

#include "oriolefall/usage/true_clock.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace oriolefall::usage {

namespace {

/// With two peers the median could follow a single wrong clock.
constexpr std::size_t min_peers = 3;
/// Bounds the memory; the median of so many does not need more.
constexpr std::size_t max_peers = 64;
/// Messages between regions take up to this time.
constexpr absl::Duration max_latency = absl::Milliseconds(500);
/// The first message of a link may have waited until the link was up. Such a
/// delay looks like a peer whose clock is behind.
constexpr std::uint32_t min_messages = 2;

} // namespace

true_clock::true_clock(absl::Time time_of_day, absl::Time started_at)
    : time_of_day_(time_of_day), started_at_(started_at)
{
}

absl::Time true_clock::at(absl::Time now) const
{
    return uncorrected(now) + correction_;
}

absl::Time true_clock::uncorrected(absl::Time now) const
{
    return time_of_day_ + (now - started_at_);
}

absl::Duration true_clock::correction() const
{
    return correction_;
}

void true_clock::record_peer(const core::instance_id& peer,
                             std::uint64_t incarnation, absl::Time sent_at,
                             absl::Time now)
{
    const absl::Duration offset = sent_at - uncorrected(now);
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        if (peers_.size() >= max_peers)
            return;
        peers_.emplace(peer, peer_offset{incarnation, offset, 1});
    } else if (found->second.incarnation != incarnation) {
        found->second = {incarnation, offset, 1};
    } else {
        // The largest offset is that of the message with the least latency.
        found->second.offset = std::max(found->second.offset, offset);
        found->second.messages =
            std::min(found->second.messages + 1, min_messages);
    }
    update_correction();
}

void true_clock::update_correction()
{
    std::vector<absl::Duration> offsets;
    for (const auto& [id, peer] : peers_)
        if (peer.messages >= min_messages || peer.offset >= -max_latency)
            offsets.push_back(peer.offset);
    if (offsets.size() < min_peers)
        return;
    const auto median =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, median);
    correction_ = absl::AbsDuration(*median) <= max_latency
                      ? absl::ZeroDuration()
                      : *median;
}

} // namespace oriolefall::usage

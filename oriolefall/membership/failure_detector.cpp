#include "oriolefall/membership/failure_detector.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::membership {

namespace {
/// Factor on the limits while most of the peers are silent.
constexpr int self_doubt_factor = 4;
/// Factor on one peer's limit each time that a suspicion was wrong.
constexpr int contradiction_factor = 2;
} // namespace

failure_detector::failure_detector(const membership_settings& settings)
    : suspect_after_(settings.suspect_after),
      longest_patience_(settings.longest_patience)
{
    assert(suspect_after_ > absl::ZeroDuration());
}

void failure_detector::watch(absl::Time now,
                             const std::vector<core::instance_id>& peers)
{
    std::map<core::instance_id, watched> next;
    for (const core::instance_id& id : peers) {
        const auto held = peers_.find(id);
        next.emplace(id, held != peers_.end() ? held->second
                                              : watched{now, suspect_after_});
    }
    peers_ = std::move(next);
}

void failure_detector::heard(absl::Time now, const core::instance_id& peer)
{
    const auto at = peers_.find(peer);
    if (at != peers_.end())
        at->second = {now, suspect_after_};
}

void failure_detector::contradicted(absl::Time now,
                                    const core::instance_id& peer)
{
    const auto at = peers_.find(peer);
    if (at == peers_.end())
        return;
    const absl::Duration longer = at->second.patience * contradiction_factor;
    at->second = {now, std::min(longer, longest_patience_)};
}

void failure_detector::excuse(absl::Duration gap)
{
    for (auto& [id, peer] : peers_)
        peer.heard += gap;
}

bool failure_detector::doubts_itself(absl::Time now) const
{
    const auto silent = std::ranges::count_if(peers_, [now](const auto& entry) {
        return now - entry.second.heard > entry.second.patience;
    });
    return peers_.size() > 1 &&
           static_cast<std::size_t>(silent) * 2 > peers_.size();
}

std::vector<core::instance_id> failure_detector::silent(absl::Time now) const
{
    const int factor = doubts_itself(now) ? self_doubt_factor : 1;
    std::vector<core::instance_id> found;
    for (const auto& [id, peer] : peers_) {
        if (now - peer.heard > peer.patience * factor)
            found.push_back(id);
    }
    return found;
}

bool failure_detector::watches(const core::instance_id& peer) const
{
    return peers_.contains(peer);
}

} // namespace oriolefall::membership

#include "oriolefall/membership/failure_detector.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::membership {

namespace {
/// Factor on all timeouts while most of the peers are overdue.
constexpr int low_health_factor = 4;
/// Factor on a peer's timeout each time that it refutes a suspicion.
constexpr int refutation_factor = 2;
} // namespace

failure_detector::failure_detector(const membership_settings& settings)
    : heartbeat_timeout_(settings.heartbeat_timeout),
      max_heartbeat_timeout_(settings.max_heartbeat_timeout)
{
    assert(heartbeat_timeout_ > absl::ZeroDuration());
}

void failure_detector::monitor(absl::Time now,
                               const std::vector<core::instance_id>& peers)
{
    std::map<core::instance_id, monitored_peer> next;
    for (const core::instance_id& id : peers) {
        const auto current = peers_.find(id);
        next.emplace(id, current != peers_.end()
                             ? current->second
                             : monitored_peer{now, heartbeat_timeout_});
    }
    peers_ = std::move(next);
}

void failure_detector::record_message(absl::Time now,
                                      const core::instance_id& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end())
        found->second = {now, heartbeat_timeout_};
}

void failure_detector::record_refutation(absl::Time now,
                                         const core::instance_id& peer)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return;
    const absl::Duration longer = found->second.timeout * refutation_factor;
    found->second = {now, std::min(longer, max_heartbeat_timeout_)};
}

void failure_detector::extend_deadlines(absl::Duration pause)
{
    for (auto& [id, peer] : peers_)
        peer.last_message_at += pause;
}

bool failure_detector::is_own_health_low(absl::Time now) const
{
    const auto overdue =
        std::ranges::count_if(peers_, [now](const auto& entry) {
            return now - entry.second.last_message_at > entry.second.timeout;
        });
    return peers_.size() > 1 &&
           static_cast<std::size_t>(overdue) * 2 > peers_.size();
}

std::vector<core::instance_id>
failure_detector::overdue_peers(absl::Time now) const
{
    const int factor = is_own_health_low(now) ? low_health_factor : 1;
    std::vector<core::instance_id> overdue;
    for (const auto& [id, peer] : peers_) {
        if (now - peer.last_message_at > peer.timeout * factor)
            overdue.push_back(id);
    }
    return overdue;
}

bool failure_detector::is_monitored(const core::instance_id& peer) const
{
    return peers_.contains(peer);
}

} // namespace oriolefall::membership

#ifndef ORIOLEFALL_DISPATCH_WAIT_ESTIMATE_HPP
#define ORIOLEFALL_DISPATCH_WAIT_ESTIMATE_HPP

#include <absl/time/time.h>

#include <array>
#include <cstdint>

namespace oriolefall::dispatch {

/// Number of tiers; one for each priority that servers support.
inline constexpr std::uint32_t tier_count = 10;

/// Estimates the waiting time in a queue of tiers from the work that was sent
/// from it while something waited. Without history the estimate is 0. Not
/// thread-safe.
class wait_estimate
{
public:
    /// Accounts the time since the last call, during which the tiers in the set
    /// `waiting` (bit n for tier n) had waiting requests.
    void advance(absl::Time now, std::uint32_t waiting);
    /// A request of `cost` seconds was sent from the queue.
    void record_sent(absl::Time now, std::uint32_t tier, double cost);

    /// Time until `work` seconds are sent, of which `tier_work` in the tier
    /// itself and the rest in more urgent ones. `cost` is that of the request
    /// that is asked for.
    [[nodiscard]] absl::Duration wait_for(absl::Time now, std::uint32_t tier,
                                          double work, double tier_work,
                                          double cost) const;

private:
    /// Decaying sums over the time in which something waited.
    struct history
    {
        double busy_seconds = 0;
        double sent_work = 0;
        /// Later of the last send and the time from which something waits.
        absl::Time idle_since = absl::InfiniteFuture();
    };

    static void advance(history& each, absl::Time now, double seconds,
                        double decay, bool is_waiting);
    [[nodiscard]] static absl::Duration
    wait_for(const history& each, absl::Time now, double work, double cost);

    std::array<history, tier_count> by_tier_;
    /// Of a tier and all more urgent ones.
    std::array<history, tier_count> up_to_tier_;
    absl::Time advanced_at_ = absl::InfinitePast();
};

} // namespace oriolefall::dispatch

#endif

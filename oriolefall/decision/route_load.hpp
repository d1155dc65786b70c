#ifndef ORIOLEFALL_DECISION_ROUTE_LOAD_HPP
#define ORIOLEFALL_DECISION_ROUTE_LOAD_HPP

#include "oriolefall/core/tier.hpp"
#include "oriolefall/decision/arrival_rate.hpp"
#include "oriolefall/decision/decider_settings.hpp"
#include "oriolefall/decision/moving_average.hpp"
#include "oriolefall/decision/server_table.hpp"

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <vector>

namespace oriolefall::decision {

/// Arrival rates and service times of one route.
class route_load
{
public:
    explicit route_load(const admission_settings& settings);

    /// `service_time_s`: expected service time of the request. `allowed_wait`:
    /// longest wait with which its target is met.
    void on_arrival(absl::Time now, core::tier tier, double service_time_s,
                    absl::Duration allowed_wait);
    void on_call_ended(double service_time_s);
    /// Reports the time between two tokens of any server of the route.
    void on_token_interval(double seconds);
    /// Reports the time to the first byte for a prompt of `prompt_tokens`.
    void on_first_byte(std::uint32_t prompt_tokens, double seconds);

    /// Slots that requests of tiers above `tier` are expected to take.
    [[nodiscard]] double higher_tier_slots(absl::Time now,
                                           core::tier tier) const;
    /// Free slots that `tier` leaves to higher tiers: their expected arrivals
    /// within their allowed wait, less the slots that will be released in that
    /// time.
    [[nodiscard]] double reserved_slots(absl::Time now, core::tier tier,
                                        const capacity& available) const;
    /// Mean duration of a call, in seconds.
    [[nodiscard]] double service_time_s() const;
    [[nodiscard]] double token_interval_s(double fallback) const
    {
        return token_intervals_.value_or(fallback);
    }
    [[nodiscard]] double first_byte_s(std::uint32_t prompt_tokens,
                                      double fallback) const;

private:
    struct tier_demand
    {
        arrival_rate requests;
        arrival_rate work;
        double allowed_wait_s = 0.0;
    };

    admission_settings settings_;
    std::array<tier_demand, core::tier_count> tiers_;
    moving_average service_times_{0.02};
    moving_average token_intervals_{0.002};
    /// By the binary logarithm of the prompt length.
    std::vector<moving_average> first_byte_times_;
};

} // namespace oriolefall::decision

#endif

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

/// What is asked of one route and how fast it is served.
class route_load
{
public:
    explicit route_load(const admission_settings& settings);

    /// `hold_s`: server time the request is expected to take.
    /// `allowed_wait`: longest wait that its target allows.
    void on_arrival(absl::Time now, core::tier tier, double hold_s,
                    absl::Duration allowed_wait);
    void on_call_ended(double hold_s);
    /// Time from one token to the next, of any server of the route.
    void on_step(double seconds);
    /// Time to the first byte for a prompt of `tokens`.
    void on_first_byte(std::uint32_t prompt_tokens, double seconds);

    /// Slots that the tiers above `tier` are expected to take.
    [[nodiscard]] double higher_slots(absl::Time now, core::tier tier) const;
    /// Free slots that `tier` leaves to higher ones: the requests expected
    /// within the wait that they can bear, less the slots that will be given
    /// back in that time.
    [[nodiscard]] double reserve(absl::Time now, core::tier tier,
                                 const capacity& of) const;
    /// Mean time of a call, in seconds.
    [[nodiscard]] double hold_s() const;
    [[nodiscard]] double step_s(double fallback) const
    {
        return step_.value_or(fallback);
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
    moving_average hold_{0.02};
    moving_average step_{0.002};
    /// By the binary logarithm of the prompt's length.
    std::vector<moving_average> first_byte_;
};

} // namespace oriolefall::decision

#endif

#ifndef ORIOLEFALL_DECISION_SERVER_HEALTH_HPP
#define ORIOLEFALL_DECISION_SERVER_HEALTH_HPP

#include "oriolefall/decision/decider_settings.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace oriolefall::decision {

/// Whether a server may be used, from what its calls showed.
enum class health_state : std::uint8_t
{
    healthy,
    ejected, ///< no calls until `out_until`
    probing  ///< one call at a time until some were good
};

/// Watches one server's speed and failures (outlier ejection).
class server_health
{
public:
    explicit server_health(const ejection_settings& settings);

    /// `ratio`: time of a step relative to the peers' usual one.
    void on_token_interval(absl::Time now, double ratio);
    void on_success();
    void on_failure();

    /// True when it ought to be ejected; the owner applies its cap.
    [[nodiscard]] bool is_outlier() const;
    void eject(absl::Time now);
    /// Lets an ejected server be probed.
    void start_probe();

    [[nodiscard]] health_state state() const
    {
        return state_;
    }
    [[nodiscard]] absl::Time ejected_until() const
    {
        return ejected_until_;
    }
    /// Fastest step of the last window relative to the peers' usual one; 1
    /// when nothing is known. A busy server has some slow steps, a straggler
    /// has no others.
    [[nodiscard]] double slowness() const
    {
        return slowness_;
    }

private:
    ejection_settings settings_;
    health_state state_ = health_state::healthy;
    double slowness_ = 1.0;
    /// The window that is being filled.
    absl::Time window_start_ = absl::InfinitePast();
    std::uint32_t window_samples_ = 0;
    double window_min_ratio_ = 0.0;
    std::uint32_t failures_ = 0;
    std::uint32_t successes_ = 0;
    std::uint32_t ejections_in_a_row_ = 0;
    absl::Time ejected_until_ = absl::InfinitePast();
};

} // namespace oriolefall::decision

#endif

#ifndef ORIOLEFALL_DECISION_SERVER_HEALTH_HPP
#define ORIOLEFALL_DECISION_SERVER_HEALTH_HPP

#include "oriolefall/decision/decider_settings.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace oriolefall::decision {

/// Health of a server as seen from its calls.
enum class health_state : std::uint8_t
{
    healthy,
    ejected, ///< no calls until `ejected_until`
    probing  ///< one call at a time until enough succeeded
};

/// Detects a slow or failing server (outlier ejection).
class server_health
{
public:
    explicit server_health(const ejection_settings& settings);

    /// `ratio`: time between two tokens relative to the usual one of the route.
    void on_token_interval(absl::Time now, double ratio);
    void on_success();
    void on_failure();

    /// True if the server should be ejected; the owner limits the number of
    /// ejections.
    [[nodiscard]] bool is_outlier() const;
    void eject(absl::Time now);
    /// Starts the probation of an ejected server.
    void start_probe();

    [[nodiscard]] health_state state() const
    {
        return state_;
    }
    [[nodiscard]] absl::Time ejected_until() const
    {
        return ejected_until_;
    }
    /// Lowest ratio of the last complete window; 1 if there is none. A busy
    /// server has some slow token intervals, a straggler has only slow ones.
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

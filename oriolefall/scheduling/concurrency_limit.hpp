#ifndef ORIOLEFALL_SCHEDULING_CONCURRENCY_LIMIT_HPP
#define ORIOLEFALL_SCHEDULING_CONCURRENCY_LIMIT_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>

namespace oriolefall::scheduling {

/// Adjustment of a server's concurrency limit to its latency.
struct limit_settings
{
    /// Ratio of a latency to the usual one that counts as congestion.
    double congestion_ratio = 4.0;
    /// A latency that exceeds the usual one by no more than this is never
    /// congestion.
    absl::Duration min_excess = absl::Milliseconds(300);
    double decrease_factor = 0.8;
    /// Minimum time between two decreases.
    absl::Duration decrease_interval = absl::Milliseconds(200);
    /// The limit is never lower.
    double min_limit = 1;
    /// Increase for each second between observations without congestion; if 0,
    /// one call for as many observations as the limit.
    double increase_per_second = 0;
    /// Longest time between two observations for which the limit increases.
    absl::Duration max_increase_time = absl::Seconds(3);
    std::partial_ordering operator<=>(const limit_settings&) const = default;
};

/// Limit on the calls that may be open at one server. Additive increase,
/// multiplicative decrease (Chiu and Jain, 1989): instances that each limit
/// their own calls at a server converge to equal shares although each observes
/// only its own calls.
class concurrency_limit
{
public:
    concurrency_limit(const limit_settings& settings, std::uint32_t slots);

    /// Reports a latency that was `ratio` times the usual one and exceeded it
    /// by `excess`.
    void on_latency(absl::Time now, double ratio, absl::Duration excess,
                    double in_flight);
    /// Reports congestion with `in_flight` calls at the server.
    void on_congestion(absl::Time now, double in_flight);
    /// Reports that there was no congestion with `in_flight` calls at the
    /// server. `weight` scales the increase.
    void on_success(absl::Time now, double in_flight, double weight = 1);
    /// Moves the limit towards the slots by `share` of the difference.
    void forget(double share);
    void set_slots(std::uint32_t slots);

    [[nodiscard]] std::uint32_t value() const;
    [[nodiscard]] double exact_value() const;

private:
    void decrease(absl::Time now, double from);

    limit_settings settings_;
    double limit_;
    double slots_;
    absl::Time decreased_at_ = absl::InfinitePast();
    absl::Time increased_at_ = absl::InfinitePast();
};

} // namespace oriolefall::scheduling

#endif

#ifndef ORIOLEFALL_DECISION_CONCURRENCY_LIMIT_HPP
#define ORIOLEFALL_DECISION_CONCURRENCY_LIMIT_HPP

#include "oriolefall/decision/decider_settings.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace oriolefall::decision {

/// Limit on the calls that this instance may have open at one server. Additive
/// increase, multiplicative decrease (Chiu and Jain, 1989): instances that
/// share a server converge to equal shares although each observes only its own
/// calls.
class concurrency_limit
{
public:
    concurrency_limit(const limit_settings& settings, std::uint32_t slots);

    /// Reports a first byte that took `ratio` times and `excess` more than the
    /// usual time.
    void on_first_byte(absl::Time now, double ratio, absl::Duration excess,
                       std::uint32_t in_flight);
    /// Reports that the server refused a call.
    void on_refused(absl::Time now, std::uint32_t in_flight);
    void set_slots(std::uint32_t slots);

    [[nodiscard]] std::uint32_t value() const;

private:
    void decrease(absl::Time now, double from);

    limit_settings settings_;
    double limit_;
    double slots_;
    absl::Time decreased_at_ = absl::InfinitePast();
};

} // namespace oriolefall::decision

#endif

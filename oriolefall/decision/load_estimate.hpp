#ifndef ORIOLEFALL_DECISION_LOAD_ESTIMATE_HPP
#define ORIOLEFALL_DECISION_LOAD_ESTIMATE_HPP

#include "oriolefall/decision/event.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace oriolefall::decision {

/// Estimate of the calls that other instances have open at one server, from its
/// load reports. Reports decay with age and lose weight if they contradict what
/// this instance observes itself.
class load_estimate
{
public:
    void on_report(absl::Time now, const load_reported& report,
                   std::uint32_t own_in_flight, std::uint32_t slots);
    /// Reports a first byte that came as fast as from an idle server.
    void on_fast_first_byte(std::uint32_t own_in_flight, std::uint32_t slots);

    /// Estimated calls of other instances, weighted by the age of the report.
    [[nodiscard]] double other_calls(absl::Time now,
                                     absl::Duration half_life) const;

private:
    double other_calls_ = 0.0;
    double confidence_ = 1.0;
    absl::Time measured_at_ = absl::InfinitePast();
};

} // namespace oriolefall::decision

#endif

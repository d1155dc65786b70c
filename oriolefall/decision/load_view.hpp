#ifndef ORIOLEFALL_DECISION_LOAD_VIEW_HPP
#define ORIOLEFALL_DECISION_LOAD_VIEW_HPP

#include "oriolefall/decision/event.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace oriolefall::decision {

/// What one server's load reports say of the calls of other instances.
/// Reports fade with age and lose weight when they contradict what this
/// instance sees itself.
class load_view
{
public:
    void on_report(absl::Time now, const load_reported& report,
                   std::uint32_t own_in_flight, std::uint32_t slots);
    /// A call's first byte came as fast as from an idle server.
    void on_fast_first_byte(std::uint32_t own_in_flight, std::uint32_t slots);

    /// Calls of others, weighted by the age of the report.
    [[nodiscard]] double others(absl::Time now, absl::Duration half_life) const;

private:
    double others_ = 0.0;
    double trust_ = 1.0;
    absl::Time taken_at_ = absl::InfinitePast();
};

} // namespace oriolefall::decision

#endif

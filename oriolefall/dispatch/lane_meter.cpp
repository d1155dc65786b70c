#include "oriolefall/dispatch/lane_meter.hpp"

#include <algorithm>
#include <cmath>

namespace oriolefall::dispatch {

namespace {

/// Time that the average looks back on.
constexpr absl::Duration memory = absl::Seconds(3);

} // namespace

void lane_meter::note_arrival(absl::Time now, std::uint32_t tokens_to_read)
{
    tokens_per_s_ =
        tokens_per_s(now) + tokens_to_read / absl::ToDoubleSeconds(memory);
    at_ = now;
}

void lane_meter::note_sent()
{
    ++calls_;
}

void lane_meter::note_ended()
{
    calls_ -= std::min(calls_, 1U);
}

double lane_meter::tokens_per_s(absl::Time now) const
{
    if (at_ == absl::InfinitePast())
        return 0;
    return tokens_per_s_ * std::exp(-absl::FDivDuration(now - at_, memory));
}

std::uint32_t lane_meter::calls() const
{
    return calls_;
}

} // namespace oriolefall::dispatch

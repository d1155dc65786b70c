#include "oriolefall/decision/load_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace oriolefall::decision {

namespace {
constexpr double min_confidence = 0.05;
constexpr double confidence_decay = 0.7;
constexpr double confidence_gain = 0.02;
} // namespace

void load_estimate::on_report(absl::Time now, const load_reported& report,
                              std::uint32_t own_in_flight, std::uint32_t slots)
{
    const double total = report.running + report.queued;
    const double own = own_in_flight;
    const bool is_contradicted = total + 2.0 < own / 2.0;
    confidence_ = is_contradicted
                      ? std::max(min_confidence, confidence_ * confidence_decay)
                      : std::min(1.0, confidence_ + confidence_gain);
    other_calls_ = std::clamp(total - own, 0.0, static_cast<double>(slots));
    measured_at_ = now - std::max(report.age, absl::ZeroDuration());
}

void load_estimate::on_fast_first_byte(std::uint32_t own_in_flight,
                                       std::uint32_t slots)
{
    if (other_calls_ + own_in_flight > static_cast<double>(slots) + 1.0)
        confidence_ = std::max(min_confidence, confidence_ * confidence_decay);
}

double load_estimate::other_calls(absl::Time now,
                                  absl::Duration half_life) const
{
    if (other_calls_ == 0.0)
        return 0.0;
    const double age = absl::FDivDuration(now - measured_at_, half_life);
    return other_calls_ * confidence_ * std::exp2(-std::max(age, 0.0));
}

} // namespace oriolefall::decision

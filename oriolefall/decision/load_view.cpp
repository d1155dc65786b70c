#include "oriolefall/decision/load_view.hpp"

#include <algorithm>
#include <cmath>

namespace oriolefall::decision {

namespace {
constexpr double least_trust = 0.05;
constexpr double distrust = 0.7;
constexpr double regained_trust = 0.02;
} // namespace

void load_view::on_report(absl::Time now, const load_reported& report,
                          std::uint32_t own_in_flight, std::uint32_t slots)
{
    const double total = report.running + report.queued;
    const double own = own_in_flight;
    const bool impossible = total + 2.0 < own / 2.0;
    trust_ = impossible ? std::max(least_trust, trust_ * distrust)
                        : std::min(1.0, trust_ + regained_trust);
    others_ = std::clamp(total - own, 0.0, static_cast<double>(slots));
    taken_at_ = now - std::max(report.age, absl::ZeroDuration());
}

void load_view::on_fast_first_byte(std::uint32_t own_in_flight,
                                   std::uint32_t slots)
{
    if (others_ + own_in_flight > static_cast<double>(slots) + 1.0)
        trust_ = std::max(least_trust, trust_ * distrust);
}

double load_view::others(absl::Time now, absl::Duration half_life) const
{
    if (others_ == 0.0)
        return 0.0;
    const double age = absl::FDivDuration(now - taken_at_, half_life);
    return others_ * trust_ * std::exp2(-std::max(age, 0.0));
}

} // namespace oriolefall::decision

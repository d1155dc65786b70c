#include "oriolefall/sizing/late_margin.hpp"

#include <algorithm>

namespace oriolefall::sizing {

namespace {
/// A margin falls by this factor each time. It falls slowly, because the
/// answers are late again when it was needed.
constexpr double decay = 0.9;
/// Servers begin to take calls some time after they start, and the list that
/// shows them is about a second old.
constexpr absl::Duration effect_delay = absl::Seconds(2);
/// A smaller margin is none.
constexpr double min_margin = 0.01;
} // namespace

late_margin::late_margin(sizing_settings settings) : settings_(settings) {}

void late_margin::on_answers(absl::Time now, std::uint32_t answers,
                             std::uint32_t late, bool is_full,
                             absl::Duration startup_time)
{
    const double share =
        answers < settings_.min_answers
            ? 0
            : std::min(1.0, late / static_cast<double>(answers));
    if (share > settings_.late_tolerance) {
        late_at_ = now;
        if (is_full || now - raised_at_ < startup_time + effect_delay)
            return;
        raised_at_ = now;
        value_ = std::min(1.0, value_ + share);
        return;
    }
    if (now - late_at_ < settings_.shrink_wait ||
        now - lowered_at_ < settings_.shrink_interval)
        return;
    lowered_at_ = now;
    value_ = value_ * decay < min_margin ? 0 : value_ * decay;
}

} // namespace oriolefall::sizing

#ifndef ORIOLEFALL_SIZING_LATE_MARGIN_HPP
#define ORIOLEFALL_SIZING_LATE_MARGIN_HPP

#include "oriolefall/sizing/sizing_settings.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace oriolefall::sizing {

/// Addition to the need of a region whose answers are late although its open
/// calls fit its servers. Pure; for use by one thread.
class late_margin
{
public:
    explicit late_margin(sizing_settings settings);

    /// Reports the answers of the last second. `late`: late or refused ones.
    /// `is_full`: the open calls do not fit the servers that run.
    void on_answers(absl::Time now, std::uint32_t answers, std::uint32_t late,
                    bool is_full, absl::Duration startup_time);

    /// Relative to the need without it: 0 to 1.
    [[nodiscard]] double value() const noexcept
    {
        return value_;
    }

private:
    sizing_settings settings_;
    double value_ = 0;
    /// When the margin last rose or fell, or answers were last late.
    absl::Time raised_at_ = absl::InfinitePast();
    absl::Time lowered_at_ = absl::InfinitePast();
    absl::Time late_at_ = absl::InfinitePast();
};

} // namespace oriolefall::sizing

#endif

#ifndef ORIOLEFALL_SIZING_SHRINK_TIMER_HPP
#define ORIOLEFALL_SIZING_SHRINK_TIMER_HPP

#include "oriolefall/sizing/sizing_settings.hpp"

#include <absl/time/time.h>

namespace oriolefall::sizing {

/// Decides when the wanted number of a pool may fall. The wait doubles each
/// time that shrinking is undone soon, so that oscillating demand does not
/// order and return the same servers. Pure; for use by one thread.
class shrink_timer
{
public:
    explicit shrink_timer(sizing_settings settings);

    /// The need is as large as the wanted number, or larger.
    void on_needed(absl::Time now);
    /// The wanted number rises.
    void on_grown(absl::Time now);
    /// The wanted number falls.
    void on_shrunk(absl::Time now);

    /// `now`: while the need is lower than the wanted number.
    [[nodiscard]] bool may_shrink(absl::Time now) const;

private:
    sizing_settings settings_;
    absl::Duration wait_;
    absl::Time needed_at_ = absl::InfiniteFuture();
    absl::Time shrunk_at_ = absl::InfinitePast();
    /// When the wait was last doubled.
    absl::Time doubled_at_ = absl::InfinitePast();
};

} // namespace oriolefall::sizing

#endif

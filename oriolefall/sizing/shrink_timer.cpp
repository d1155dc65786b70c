#include "oriolefall/sizing/shrink_timer.hpp"

#include <algorithm>

namespace oriolefall::sizing {

namespace {
/// Growth within this time after shrinking means that the wait was too short.
constexpr absl::Duration undo_period = absl::Seconds(30);
/// The wait returns to its first value after this time without such growth.
constexpr absl::Duration reset_period = absl::Minutes(3);
} // namespace

shrink_timer::shrink_timer(sizing_settings settings)
    : settings_(settings), wait_(settings.shrink_wait)
{
}

void shrink_timer::on_needed(absl::Time now)
{
    needed_at_ = now;
}

void shrink_timer::on_grown(absl::Time now)
{
    needed_at_ = now;
    if (now - shrunk_at_ < undo_period) {
        wait_ = std::min(2 * wait_, settings_.max_shrink_wait);
        doubled_at_ = now;
        // Each time that servers are ordered away counts once.
        shrunk_at_ = absl::InfinitePast();
    }
}

void shrink_timer::on_shrunk(absl::Time now)
{
    shrunk_at_ = now;
    if (now - doubled_at_ > reset_period)
        wait_ = settings_.shrink_wait;
}

bool shrink_timer::may_shrink(absl::Time now) const
{
    return now - needed_at_ >= wait_;
}

} // namespace oriolefall::sizing

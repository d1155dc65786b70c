#include "oriolefall/core/recent_peak.hpp"

#include <criterion/criterion.h>

using oriolefall::core::recent_peak;

Test(recent_peak, retains_the_maximum_for_at_least_its_window)
{
    recent_peak peak(absl::Minutes(30));
    const absl::Time start = absl::UnixEpoch();
    cr_assert_eq(peak.update(start, 7), 7);
    cr_assert_eq(peak.update(start + absl::Minutes(1), 3), 7);
    cr_assert_eq(peak.update(start + absl::Minutes(31), 3), 7);
    cr_assert_eq(peak.update(start + absl::Minutes(62), 3), 3);
}

Test(recent_peak, drops_the_maximum_after_two_windows_without_values)
{
    recent_peak peak(absl::Minutes(30));
    const absl::Time start = absl::UnixEpoch();
    cr_assert_eq(peak.update(start, 7), 7);
    cr_assert_eq(peak.update(start + absl::Hours(2), 2), 2);
}

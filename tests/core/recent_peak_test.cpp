#include "oriolefall/core/recent_peak.hpp"

#include <criterion/criterion.h>

using oriolefall::core::recent_peak;

Test(recent_peak, keeps_the_largest_value_for_its_span_at_least)
{
    recent_peak subject(absl::Minutes(30));
    const absl::Time start = absl::UnixEpoch();
    cr_assert_eq(subject.take(start, 7), 7);
    cr_assert_eq(subject.take(start + absl::Minutes(1), 3), 7);
    cr_assert_eq(subject.take(start + absl::Minutes(31), 3), 7);
    cr_assert_eq(subject.take(start + absl::Minutes(62), 3), 3);
}

Test(recent_peak, forgets_at_once_after_a_long_time_without_values)
{
    recent_peak subject(absl::Minutes(30));
    const absl::Time start = absl::UnixEpoch();
    cr_assert_eq(subject.take(start, 7), 7);
    cr_assert_eq(subject.take(start + absl::Hours(2), 2), 2);
}

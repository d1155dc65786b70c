#include "oriolefall/objects/backoff.hpp"
#include "oriolefall/objects/rate_limiter.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall::objects;

Test(backoff, delay_doubles_up_to_its_maximum)
{
    const backoff_settings settings{absl::Milliseconds(10),
                                    absl::Milliseconds(50)};
    const random_hook upper_bound = [] { return 1.0; };
    cr_assert(backoff_delay(settings, 0, upper_bound) ==
              absl::Milliseconds(10));
    cr_assert(backoff_delay(settings, 1, upper_bound) ==
              absl::Milliseconds(20));
    cr_assert(backoff_delay(settings, 2, upper_bound) ==
              absl::Milliseconds(40));
    cr_assert(backoff_delay(settings, 3, upper_bound) ==
              absl::Milliseconds(50));
    cr_assert(backoff_delay(settings, 4000, upper_bound) ==
              absl::Milliseconds(50));
    cr_assert(backoff_delay(settings, 3, [] { return 0.0; }) ==
              absl::ZeroDuration());
}

Test(rate_limiter, never_exceeds_rate_and_burst)
{
    const bool holds = rc::check("calls within rate and burst", [] {
        const auto rate = *rc::gen::inRange(1, 100);
        const auto burst = *rc::gen::inRange(1, 20);
        const auto gaps =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
        rate_limiter limiter(rate, burst);
        const absl::Time start = absl::UnixEpoch();
        absl::Time now = start;
        for (std::size_t i = 0; i < gaps.size(); ++i) {
            now += absl::Milliseconds(gaps[i]);
            now += limiter.reserve(now);
            const double seconds = absl::ToDoubleSeconds(now - start);
            RC_ASSERT(static_cast<double>(i + 1) <=
                      burst + rate * seconds + 1e-6);
        }
    });
    cr_assert(holds);
}

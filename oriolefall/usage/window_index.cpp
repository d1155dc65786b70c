#include "oriolefall/usage/window_index.hpp"

#include <cassert>

namespace oriolefall::usage {

std::uint64_t window_index(absl::Time true_time, absl::Duration length)
{
    assert(length > absl::ZeroDuration());
    if (true_time < absl::UnixEpoch())
        return 0;
    absl::Duration rest;
    return static_cast<std::uint64_t>(
        absl::IDivDuration(true_time - absl::UnixEpoch(), length, &rest));
}

absl::Time window_start(std::uint64_t window, absl::Duration length)
{
    return absl::UnixEpoch() + static_cast<std::int64_t>(window) * length;
}

absl::Time window_end(std::uint64_t window, absl::Duration length)
{
    return window_start(window, length) + length;
}

} // namespace oriolefall::usage

#ifndef ORIOLEFALL_DISPATCH_NOTICE_REPORT_HPP
#define ORIOLEFALL_DISPATCH_NOTICE_REPORT_HPP

#include "oriolefall/dispatch/crash_report.hpp"

#include <absl/time/time.h>

#include <compare>
#include <optional>
#include <vector>

namespace oriolefall::dispatch {

/// The limit that a server named in an answer to some instance, or that it
/// named none.
struct reported_limit
{
    server_incarnation server;
    std::optional<double> rate_limit;
    /// Time since the answer.
    absl::Duration age = absl::ZeroDuration();
    std::partial_ordering operator<=>(const reported_limit&) const = default;
};

/// What one instance tells the others of what servers say of themselves.
/// Delivery is best-effort, in any order.
struct notice_report
{
    std::vector<reported_limit> limits;
    auto operator<=>(const notice_report&) const = default;
};

} // namespace oriolefall::dispatch

#endif

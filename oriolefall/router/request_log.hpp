#ifndef ORIOLEFALL_ROUTER_REQUEST_LOG_HPP
#define ORIOLEFALL_ROUTER_REQUEST_LOG_HPP

#include "oriolefall/dispatch/decision_record.hpp"
#include "oriolefall/observe/event_log.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolefall::router {

struct request_log_settings
{
    /// Number of requests per second whose decisions are logged immediately.
    /// The decisions of further requests are buffered until the request ends,
    /// and logged only if it failed or needed more than one call.
    std::uint32_t direct_requests_per_second = 60;
    /// Interval between log entries with the number of omitted requests.
    absl::Duration summary_interval = absl::Seconds(10);
    std::strong_ordering
    operator<=>(const request_log_settings&) const = default;
};

/// Writes one log entry per decision about a request. Under load all entries of
/// requests that succeeded with their first call are omitted and only counted;
/// those of failed or retried requests are always written. Not thread-safe.
class request_log
{
public:
    /// `log` outlives this object.
    request_log(request_log_settings settings, observe::event_log& log);

    /// `now` is wall-clock time.
    void log(absl::Time now, const dispatch::decision_record& record);
    void log(absl::Time now, const dispatch::ejection_change& change);
    void log(absl::Time now, const dispatch::quarantine_change& change);
    void log(absl::Time now, const dispatch::rate_limit_change& change);
    void log(absl::Time now, const dispatch::notice_record& notice);

private:
    struct buffered_record
    {
        absl::Time logged_at;
        dispatch::decision_record record;
    };
    struct open_request
    {
        bool is_written_directly = false;
        std::vector<buffered_record> buffered;
    };

    [[nodiscard]] bool may_write_directly(absl::Time now);
    void finish_request(absl::Time now, std::uint64_t id,
                        const open_request& request);
    void write(absl::Time at, const dispatch::decision_record& record);
    void write_summary(absl::Time now);

    request_log_settings settings_;
    observe::event_log& log_;
    absl::flat_hash_map<std::uint64_t, open_request> open_requests_;
    std::int64_t current_second_ = 0;
    std::uint32_t direct_in_second_ = 0;
    std::uint64_t omitted_count_ = 0;
    absl::Time next_summary_at_ = absl::InfinitePast();
};

} // namespace oriolefall::router

#endif

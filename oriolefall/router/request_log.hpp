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
    /// Requests a second whose decisions are written as they are made. Those of
    /// the others wait for their end, and are written when it is a failure or
    /// when there was more than one call.
    std::uint32_t direct_per_second = 60;
    /// Between two lines that tell how many requests were left out.
    absl::Duration summary_interval = absl::Seconds(10);
    std::strong_ordering
    operator<=>(const request_log_settings&) const = default;
};

/// Writes one line for each decision about a request. Under load the whole
/// path of requests that went well is left out, and their number told; nothing
/// of one that failed is. One thread.
class request_log
{
public:
    /// `log` outlives this object.
    request_log(request_log_settings settings, observe::event_log& log);

    /// `now`: the time of day.
    void note(absl::Time now, const dispatch::decision_record& value);
    void note(absl::Time now, const dispatch::ejection_change& value);

private:
    struct held_note
    {
        absl::Time at;
        dispatch::decision_record value;
    };
    struct open_request
    {
        bool is_direct = false;
        std::vector<held_note> held;
    };

    [[nodiscard]] bool may_write_directly(absl::Time now);
    void end(absl::Time now, std::uint64_t id, const open_request& over);
    void write(absl::Time at, const dispatch::decision_record& value);
    void write_summary(absl::Time now);

    request_log_settings settings_;
    observe::event_log& log_;
    absl::flat_hash_map<std::uint64_t, open_request> open_;
    std::int64_t second_ = 0;
    std::uint32_t in_second_ = 0;
    std::uint64_t left_out_ = 0;
    absl::Time summary_at_ = absl::InfinitePast();
};

} // namespace oriolefall::router

#endif

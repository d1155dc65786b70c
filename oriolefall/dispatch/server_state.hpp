#ifndef ORIOLEFALL_DISPATCH_SERVER_STATE_HPP
#define ORIOLEFALL_DISPATCH_SERVER_STATE_HPP

#include "oriolefall/dispatch/call_restrictions.hpp"
#include "oriolefall/dispatch/prompt_cache.hpp"
#include "oriolefall/dispatch/rate_limiter.hpp"
#include "oriolefall/dispatch/server_capacity.hpp"
#include "oriolefall/dispatch/server_entry.hpp"
#include "oriolefall/dispatch/server_notice.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace oriolefall::dispatch {

/// Settings of the ejection of backend servers for their failures (outlier
/// ejection).
struct ejection_settings
{
    /// Number of consecutive failures that ejects a server.
    std::uint32_t consecutive_failures = 3;
    /// Failure ratio of recent calls that ejects a server.
    double failure_ratio = 0.5;
    /// Minimum number of calls before the failure ratio is evaluated.
    std::uint32_t min_calls = 6;
    /// Length of the first ejection. It doubles with each further ejection up
    /// to the maximum.
    absl::Duration base_ejection_time = absl::Seconds(1);
    absl::Duration max_ejection_time = absl::Seconds(4);
    std::partial_ordering operator<=>(const ejection_settings&) const = default;
};

/// State of one backend server as seen by this instance: its entry, its last
/// reported load corrected by the calls of this instance since, and the
/// outcomes of its calls. Not thread-safe.
class server_state
{
public:
    server_state(server_entry entry, const ejection_settings& settings,
                 const capacity_settings& capacity = {});

    /// Replaces the entry. Resets the cache, load and failures if the server
    /// has been restarted.
    void update_entry(server_entry entry);
    [[nodiscard]] const server_entry& entry() const;

    void record_call_sent(std::uint32_t uncached_tokens);
    /// Removes the prompt of a call from the backlog: its first event or its
    /// whole answer was received, or the call ended.
    void record_prefill(std::uint32_t uncached_tokens);
    /// Records the end of a call with any outcome.
    void record_call_ended();
    void update_load(absl::Time now, const server_load& load);
    /// Takes the load that another instance heard at `heard_at`, if it is newer
    /// than what is known.
    void update_heard_load(absl::Time heard_at, const server_load& load);
    /// Sets the load that the other instances report for their own calls.
    void set_peer_load(double calls, double backlog_tokens);

    void record_success(absl::Time now);
    void record_failure(absl::Time now);
    /// Ejects the server: no connection could be opened, or another server
    /// answers at the address.
    void record_unreachable(absl::Time now);

    /// True while the server gets no calls because of its failures.
    [[nodiscard]] bool is_ejected(absl::Time now) const;
    [[nodiscard]] absl::Time ejected_until() const;
    /// Moving average of the failure ratio of its calls, in percent.
    [[nodiscard]] std::uint32_t failed_percent() const;
    /// True from an ejection until the next success. After the ejection one
    /// call at a time probes the server.
    [[nodiscard]] bool is_on_probation() const;

    /// Estimated number of calls of all callers that run or wait at the server.
    [[nodiscard]] double estimated_calls(absl::Time now) const;
    [[nodiscard]] std::uint32_t own_calls() const;
    /// True if the service of the server uses capacity learning.
    [[nodiscard]] bool learns_capacity() const;
    void set_learns_capacity(bool learns_capacity);
    server_capacity& capacity();
    [[nodiscard]] const server_capacity& capacity() const;
    /// The last load that the server reported to this instance, and when.
    [[nodiscard]] const std::optional<server_load>& heard_load() const;
    [[nodiscard]] absl::Time heard_load_at() const;
    /// Number of calls of all callers that the server takes well, as of the
    /// last load report. The slots where the service does not learn it.
    [[nodiscard]] double call_limit() const;
    [[nodiscard]] double call_limit(absl::Time now) const;
    /// True while the server takes one more call of `priority` (0 is the most
    /// urgent), whose prompt has `uncached_tokens` to read, well.
    [[nodiscard]] bool admits(absl::Time now, std::uint32_t uncached_tokens,
                              std::uint32_t priority) const;
    /// Updates the slowness from the time to a first event.
    void record_first_event(double expected_ms, double measured_ms);
    /// Moving average of the ratio of measured to expected time to the first
    /// event.
    [[nodiscard]] double slowness() const;
    /// Sets the slowness of a server that has not been measured yet.
    void set_initial_slowness(double slowness);
    /// Uncached prompt tokens of this instance's calls whose prefill is not
    /// finished.
    [[nodiscard]] std::uint64_t own_backlog_tokens() const;

    prompt_cache& cache();
    [[nodiscard]] const prompt_cache& cache() const;
    rate_limiter& limiter();
    [[nodiscard]] const rate_limiter& limiter() const;
    /// By what the server has said in its answers.
    call_restrictions::restriction restriction;
    /// The server's store entry lapsed while the store could not be reached.
    bool is_stale = false;

private:
    void eject(absl::Time now);
    [[nodiscard]] double learned_calls(absl::Time now) const;

    server_entry entry_;
    ejection_settings settings_;
    capacity_settings capacity_settings_;
    server_capacity capacity_;
    bool learns_capacity_ = false;
    prompt_cache cache_;
    rate_limiter limiter_;
    std::uint32_t own_calls_ = 0;
    std::uint64_t own_backlog_ = 0;
    std::optional<server_load> load_;
    absl::Time load_received_at_ = absl::InfinitePast();
    /// Number of own calls sent minus those ended since `load_` was received.
    std::int64_t calls_since_load_ = 0;
    std::optional<server_load> heard_load_;
    absl::Time heard_load_at_ = absl::InfinitePast();
    /// Load that the other instances put on the server.
    double peer_calls_ = 0;
    double peer_backlog_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    /// Exponential moving average; the newest call has a weight of 1/8.
    double failure_ratio_ = 0;
    std::uint32_t recorded_calls_ = 0;
    std::uint32_t ejections_ = 0;
    absl::Time ejected_until_ = absl::InfinitePast();
    bool is_on_probation_ = false;
    double slowness_ = 1;
};

} // namespace oriolefall::dispatch

#endif

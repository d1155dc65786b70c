#ifndef ORIOLEFALL_DISPATCH_SERVER_STATE_HPP
#define ORIOLEFALL_DISPATCH_SERVER_STATE_HPP

#include "oriolefall/dispatch/prompt_cache.hpp"
#include "oriolefall/dispatch/server_entry.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace oriolefall::dispatch {

/// When a backend server is left out for its failures, and for how long.
struct ejection_settings
{
    /// Failures in a row after which a server is left out.
    std::uint32_t failures_in_a_row = 3;
    /// Share of recent calls that fail from which a server is left out.
    double failure_share = 0.5;
    /// Calls before the share is looked at.
    std::uint32_t least_calls = 6;
    absl::Duration first_time = absl::Seconds(1);
    absl::Duration longest_time = absl::Seconds(4);
    std::partial_ordering operator<=>(const ejection_settings&) const = default;
};

/// What one instance knows of one backend server: its entry, its load as it
/// told it and as this instance changed it, and how its calls went. One
/// thread.
class server_state
{
public:
    server_state(server_entry entry, const ejection_settings& settings);

    void replace(server_entry entry);
    [[nodiscard]] const server_entry& entry() const;

    void note_sent(std::uint32_t tokens_to_read);
    /// The first event or the whole answer came; its prompt has been read.
    void note_read(std::uint32_t tokens_to_read);
    /// The call ended, whichever way.
    void note_ended();
    void note_load(absl::Time now, const server_load& load);

    void note_success(absl::Time now);
    void note_failure(absl::Time now);
    /// No connection could be opened, or another server has the address.
    void note_unreachable(absl::Time now);

    /// True while it gets no calls for its failures.
    [[nodiscard]] bool is_ejected(absl::Time now) const;
    [[nodiscard]] absl::Time ejected_until() const;
    /// Share of its latest calls that failed.
    [[nodiscard]] std::uint32_t failed_percent() const;
    /// After an ejection one call at a time shows whether it is well again.
    [[nodiscard]] bool is_on_probation() const;

    /// Calls that run or wait there, of all callers, as far as known.
    [[nodiscard]] double calls_there(absl::Time now) const;
    [[nodiscard]] std::uint32_t own_calls() const;
    /// Compares the time to a first event with what was expected.
    void note_first_event(double expected_ms, double seen_ms);
    /// How much slower it reads than expected; 1 is as expected.
    [[nodiscard]] double slowness() const;
    /// What is taken before it has shown how fast it is.
    void assume_slowness(double slowness);
    /// Prompt tokens of own calls that it has still to read.
    [[nodiscard]] std::uint64_t own_backlog_tokens() const;

    prompt_cache& cache();
    [[nodiscard]] const prompt_cache& cache() const;
    bool doubtful = false;

private:
    void eject(absl::Time now);

    server_entry entry_;
    ejection_settings settings_;
    prompt_cache cache_;
    std::uint32_t own_calls_ = 0;
    std::uint64_t own_backlog_ = 0;
    std::optional<server_load> load_;
    absl::Time load_at_ = absl::InfinitePast();
    /// Own calls sent less those ended since the load was told.
    std::int64_t change_since_ = 0;
    std::uint32_t failures_in_a_row_ = 0;
    /// Moving average of failures; weight of the newest call 1/8.
    double failure_share_ = 0;
    std::uint32_t calls_seen_ = 0;
    std::uint32_t ejections_ = 0;
    absl::Time ejected_until_ = absl::InfinitePast();
    bool on_probation_ = false;
    double slowness_ = 1;
};

} // namespace oriolefall::dispatch

#endif

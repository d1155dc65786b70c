#ifndef ORIOLEFALL_DISPATCH_PROMPT_QUARANTINE_HPP
#define ORIOLEFALL_DISPATCH_PROMPT_QUARANTINE_HPP

#include "oriolefall/dispatch/crash_history.hpp"
#include "oriolefall/dispatch/event.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace oriolefall::dispatch {

/// Prompt parts that crash servers where a request has all of them.
struct quarantined_parts
{
    std::set<std::uint64_t> parts;
    std::uint32_t crashes = 0;
    absl::Time ends_at;
    std::strong_ordering operator<=>(const quarantined_parts&) const = default;
};

/// Finds the prompt parts that crash servers, from what all instances have
/// seen, and keeps requests with these parts from the servers.
///
/// A part is suspected of the crashes that no answer to a request with it has
/// followed. With enough of them it is quarantined, unless another part with
/// enough explains the same crashes and more. Parts that are suspected of
/// exactly the same crashes can't be told apart: then only requests with all of
/// them are kept back, and the others will tell. Not thread-safe.
class prompt_quarantine
{
public:
    /// `random` generates uniformly distributed numbers.
    prompt_quarantine(const quarantine_settings& settings,
                      std::function<std::uint64_t()> random);

    /// A call ended before its answer began, because the server closed the
    /// connection.
    void record_crash(absl::Time now, const server_incarnation& server,
                      std::span<const prompt_part> parts);
    /// A request with these parts was answered.
    void record_answer(absl::Time answered_at,
                       std::span<const prompt_part> parts);
    /// The server has answered a call.
    void record_alive(absl::Time now, const server_incarnation& server);
    void merge(absl::Time now, const crash_report& report);
    /// Forgets crashes that are too old.
    void expire(absl::Time now);

    /// The quarantined parts that a request with these parts has, or null.
    [[nodiscard]] const quarantined_parts*
    find(std::span<const prompt_part> parts) const;
    /// True when a further crash would be expected from a retry.
    [[nodiscard]] bool is_suspected(std::span<const prompt_part> parts) const;
    [[nodiscard]] const std::vector<quarantined_parts>& all() const;
    /// Changes each time that `all` may have changed.
    [[nodiscard]] std::uint64_t revision() const;

    /// True when there is something that peers have not been told.
    [[nodiscard]] bool has_changes() const;
    [[nodiscard]] std::optional<crash_report> take_changes(absl::Time now);
    /// What an instance that knows nothing needs to quarantine the same parts.
    [[nodiscard]] crash_report summary(absl::Time now) const;

private:
    using part_crashes = std::map<std::uint64_t, std::set<crash_key>>;

    void update();
    /// The parts with enough crashes for a quarantine.
    [[nodiscard]] part_crashes candidates(const part_crashes& suspected) const;
    [[nodiscard]] std::uint32_t threshold(std::uint64_t part) const;
    [[nodiscard]] absl::Time
    end_of_quarantine(const std::set<crash_key>& crashes) const;

    quarantine_settings settings_;
    std::function<std::uint64_t()> random_;
    /// Factor of the quarantine times of this instance.
    std::optional<double> time_factor_;
    crash_history history_;
    std::vector<quarantined_parts> quarantined_;
    std::uint64_t revision_ = 0;
    /// Parts that are suspected of several crashes.
    std::set<std::uint64_t> suspected_;
};

} // namespace oriolefall::dispatch

#endif

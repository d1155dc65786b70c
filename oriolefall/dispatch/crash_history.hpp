#ifndef ORIOLEFALL_DISPATCH_CRASH_HISTORY_HPP
#define ORIOLEFALL_DISPATCH_CRASH_HISTORY_HPP

#include "oriolefall/dispatch/answered_parts.hpp"
#include "oriolefall/dispatch/crash_report.hpp"
#include "oriolefall/dispatch/quarantine_settings.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace oriolefall::dispatch {

/// A crash of a backend server as this instance remembers it.
struct remembered_crash
{
    absl::Time crashed_at;
    std::set<std::uint64_t> parts;
    bool is_refuted = false;
};

/// Identifies a crash, in the order of time.
struct crash_key
{
    absl::Time crashed_at;
    server_incarnation server;
    std::strong_ordering operator<=>(const crash_key&) const = default;
};

/// Crashes of backend servers that this instance and its peers have seen, and
/// when the prompt parts involved were last in an answered request. Instances
/// that exchange their reports come to the same knowledge in whatever order
/// the reports arrive. Not thread-safe.
class crash_history
{
public:
    explicit crash_history(const quarantine_settings& settings);

    /// The functions that record something return true when it changes what is
    /// known of a part.
    bool record_crash(absl::Time now, const server_incarnation& server,
                      std::span<const std::uint64_t> parts);
    bool record_answer(std::uint64_t part, absl::Time answered_at);
    /// The server has answered a call.
    bool record_alive(absl::Time now, const server_incarnation& server);
    bool merge(absl::Time now, const crash_report& report);
    /// Drops crashes that are too old.
    bool expire(absl::Time now);

    /// The crashes that each part may have caused: those that are not refuted
    /// and that no answer to a request with the part has followed.
    [[nodiscard]] std::map<std::uint64_t, std::set<crash_key>>
    unanswered_crashes() const;
    [[nodiscard]] bool was_answered(std::uint64_t part) const;
    [[nodiscard]] bool is_empty() const;

    [[nodiscard]] bool has_changes() const;
    /// Takes what peers have not been told; empty if there is nothing.
    [[nodiscard]] std::optional<crash_report> take_changes(absl::Time now);
    /// The crashes of these parts, most recent first, with no other parts.
    [[nodiscard]] crash_report report_of(absl::Time now,
                                         const std::set<std::uint64_t>& parts,
                                         std::size_t max_crashes) const;

private:
    using crash_map = std::map<server_incarnation, remembered_crash>;

    [[nodiscard]] bool is_involved(std::uint64_t part) const;
    /// True when the part is involved in a crash at `begin` or later, but
    /// before `end`.
    [[nodiscard]] bool has_crash_between(std::uint64_t part, absl::Time begin,
                                         absl::Time end) const;
    bool merge_crash(absl::Time now, const reported_crash& reported);
    bool add_parts(const server_incarnation& server, remembered_crash& crash,
                   std::span<const std::uint64_t> parts);
    void drop_oldest();

    quarantine_settings settings_;
    answered_parts answered_;
    crash_map crashes_;
    std::set<server_incarnation> changed_crashes_;
    std::set<std::uint64_t> changed_answers_;
};

} // namespace oriolefall::dispatch

#endif

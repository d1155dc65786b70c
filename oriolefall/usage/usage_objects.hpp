#ifndef ORIOLEFALL_USAGE_USAGE_OBJECTS_HPP
#define ORIOLEFALL_USAGE_USAGE_OBJECTS_HPP

#include "oriolefall/usage/usage_update.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::usage {

/// Store collection with one object for each watcher, named like the instance.
inline constexpr std::string_view sums_collection = "oriolefall-usage";
/// Store collection and name of the record of the last report.
inline constexpr std::string_view record_collection = "oriolefall-duties";
inline constexpr std::string_view record_name = "usage";

/// What a watcher publishes: the sums over the instances of its region.
struct region_usage
{
    core::region_name region;
    /// Windows that have ended, sorted by window. A window without requests is
    /// listed without counts.
    std::vector<window_counts> windows;
    std::vector<service_demand> demand;
    auto operator<=>(const region_usage&) const = default;
};

/// The last report, written before it is sent.
struct usage_record
{
    /// Fencing number of the instance that wrote it.
    std::uint64_t fence = 0;
    duties::usage_report report;
    /// No report is to be sent: only says that those of this window and before
    /// it are settled. Written after the store was restored.
    bool is_settled = false;
    auto operator<=>(const usage_record&) const = default;
};

[[nodiscard]] std::string print_region_usage(const region_usage& value);
[[nodiscard]] std::string print_usage_record(const usage_record& value);
/// Empty if the text can't be read or exceeds a bound. Thread-safe, as are the
/// functions above.
[[nodiscard]] std::optional<region_usage>
parse_region_usage(std::string_view text);
[[nodiscard]] std::optional<usage_record>
parse_usage_record(std::string_view text);

} // namespace oriolefall::usage

#endif

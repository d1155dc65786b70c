#ifndef ORIOLEFALL_DUTIES_PLANNER_HPP
#define ORIOLEFALL_DUTIES_PLANNER_HPP

#include "oriolefall/duties/size_order.hpp"
#include "oriolefall/duties/usage_report.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::duties {

/// An object of the store.
struct object_version
{
    std::string name;
    /// JSON text; empty if it can't be read.
    std::string value;
    std::uint64_t revision = 0;
    auto operator<=>(const object_version&) const = default;
};

/// Lists a small collection of the store.
struct read_objects
{
    std::string collection;
    auto operator<=>(const read_objects&) const = default;
};

/// Replaces an object if it still has the expected revision; 0: creates it if
/// it does not exist.
struct write_object
{
    std::string collection;
    std::string name;
    std::string value;
    std::uint64_t expected_revision = 0;
    auto operator<=>(const write_object&) const = default;
};

/// Calls the provider. Sent only while the lease is held.
struct provider_call
{
    std::variant<usage_report, size_order> order;
    auto operator<=>(const provider_call&) const = default;
};

using task = std::variant<read_objects, write_object, provider_call>;

struct objects_read
{
    std::vector<object_version> objects;
    /// Number of times that the store was restored from a copy.
    std::uint64_t epoch = 0;
    auto operator<=>(const objects_read&) const = default;
};

struct object_written
{
    std::uint64_t revision = 0;
    auto operator<=>(const object_written&) const = default;
};

/// The object has another revision than expected; nothing was written.
struct write_conflict
{
    auto operator<=>(const write_conflict&) const = default;
};

struct provider_accepted
{
    auto operator<=>(const provider_accepted&) const = default;
};

/// The provider has not executed the call.
struct provider_refused
{
    /// HTTP status.
    unsigned status = 0;
    auto operator<=>(const provider_refused&) const = default;
};

/// There was no answer, or the lease was lost before the call; a write or a
/// call may have been executed.
struct task_failed
{
    std::string cause;
    auto operator<=>(const task_failed&) const = default;
};

using task_result =
    std::variant<objects_read, object_written, write_conflict,
                 provider_accepted, provider_refused, task_failed>;

/// What the holder of the lease does for one duty. Pure; called on the thread
/// of the duties. `now` is monotonic and counts suspended time.
struct planner
{
    /// For logs and metrics.
    std::string name;
    /// This instance has acquired the lease anew, with this fencing number.
    std::function<void(absl::Time now, std::uint64_t fencing_number)>
        on_acquired;
    /// The task to start now. One task is in progress at a time; `on_result`
    /// is called once for each, unless the lease is acquired anew before.
    std::function<std::optional<task>(absl::Time now)> next;
    std::function<void(absl::Time now, const task&, const task_result&)>
        on_result;
    /// Earliest time at which `next` may return a task.
    std::function<absl::Time()> next_at;
};

} // namespace oriolefall::duties

#endif

#ifndef ORIOLEFALL_SINGLETON_DUTY_PROTOCOL_HPP
#define ORIOLEFALL_SINGLETON_DUTY_PROTOCOL_HPP

#include "oriolefall/duties/planner.hpp"
#include "oriolefall/follow/store_connection.hpp"
#include "oriolefall/follow/stored_object.hpp"
#include "oriolefall/leasing/lease.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace oriolefall::singleton {

/// The object does not exist.
struct object_absent
{
    auto operator<=>(const object_absent&) const = default;
};

using read_result =
    std::variant<duties::object_version, object_absent, follow::call_failed>;

/// The encoding of the calls of the duties. Parse functions may throw; the
/// answer is then a failed call.
struct duty_protocol
{
    std::function<follow::store_request(const std::string& collection,
                                        const std::string& name)>
        read;
    std::function<read_result(const follow::store_answer&)> parse_read;
    /// One page of a collection; `after`: last name of the previous page.
    std::function<follow::store_request(const std::string& collection,
                                        const std::string& after)>
        list;
    /// A `list_page` or `call_failed`.
    std::function<follow::call_result(const follow::store_answer&)> parse_list;
    /// Creates or replaces an object under the condition of the task.
    std::function<follow::store_request(const duties::write_object&)> write;
    /// `object_written` (revision 0: not named), `write_conflict` or
    /// `task_failed`.
    std::function<duties::task_result(const follow::store_answer&)> parse_write;
    std::function<follow::store_request(const core::instance_id& holder,
                                        std::uint64_t fencing_number,
                                        const duties::usage_report&)>
        report_usage;
    std::function<follow::store_request(const core::instance_id& holder,
                                        std::uint64_t fencing_number,
                                        const duties::size_order&)>
        order_size;
    /// `provider_accepted` or `provider_refused`.
    std::function<duties::task_result(const follow::store_answer&)>
        parse_provider;
    /// Number of times that the store was restored from a copy, if the answer
    /// names it.
    std::function<std::optional<std::uint64_t>(const follow::store_answer&)>
        epoch;
    /// Contains the expected version too: the store takes no note of a write
    /// that changes nothing, so that nobody would see a renewal.
    std::function<std::string(const leasing::write_lease&)> print_lease;
    std::function<std::optional<leasing::lease>(const std::string&)>
        parse_lease;
};

} // namespace oriolefall::singleton

#endif

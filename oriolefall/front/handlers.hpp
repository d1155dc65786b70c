#ifndef ORIOLEFALL_FRONT_HANDLERS_HPP
#define ORIOLEFALL_FRONT_HANDLERS_HPP

#include "oriolefall/core/answer.hpp"
#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/request.hpp"
#include "oriolefall/core/service_class.hpp"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::front {

/// A decoded request that is handed to the decision logic. The answer arrives
/// in `answers` and ends with exactly one `answer_end`.
struct submission
{
    core::request request;
    core::payload_ptr payload;
    core::answer_ring_ptr answers;
};

/// Instances that a caller may send requests to, best first, and how long
/// this list is valid.
struct entry_answer
{
    std::vector<core::endpoint> endpoints;
    absl::Duration lifetime = absl::ZeroDuration();
};

/// Hooks by which the HTTP interface uses the rest of the instance. All are
/// thread-safe, and none blocks for long.
struct handlers
{
    /// Returns a new identifier for a request.
    std::function<core::request_id()> next_request_id;
    /// Hands a request to the decision logic. Returns the reason when it is
    /// refused, such as a full ring.
    std::function<std::optional<core::reason>(submission)> submit;
    /// Called when the caller of this request has closed its connection.
    std::function<void(core::request_id)> on_caller_gone;
    /// Returns the service class of this name from the settings in force.
    std::function<std::optional<core::service_class>(const core::class_name&)>
        find_class;
    /// Returns the models that at least one backend server has loaded.
    std::function<std::vector<core::model_name>()> models;
    /// Returns the instances that this workspace may use.
    std::function<entry_answer(const core::workspace_id&)> find_entry;
    /// Counts a request that was refused before it reached the decision logic.
    std::function<void(core::reason)> count_refusal;
    /// Returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    /// True while the instance accepts new requests.
    std::function<bool()> is_ready;
    /// Returns JSON text that explains the decisions made for a request;
    /// std::nullopt when this instance has no record of the request.
    std::function<std::optional<std::string>(core::request_id)> explain;
    /// Returns this instance's state as JSON text for `oriolefall status`.
    std::function<std::string()> status;
};

} // namespace oriolefall::front

#endif

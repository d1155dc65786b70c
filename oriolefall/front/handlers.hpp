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

/// A decoded request on its way to the decisions. The answer comes through
/// `answers` and ends with exactly one `answer_end`.
struct submission
{
    core::request request;
    core::payload_ptr payload;
    core::answer_ring_ptr answers;
};

/// Which instances a caller may use, best first, and for how long.
struct entry_answer
{
    std::vector<core::endpoint> endpoints;
    absl::Duration lifetime = absl::ZeroDuration();
};

/// What the callers' HTTP needs from the rest of the instance. All may be
/// called from any thread and none blocks for long.
struct handlers
{
    /// A new identifier for a request.
    std::function<core::request_id()> next_request_id;
    /// Hands a request to the decisions; a reason when there is no room.
    std::function<std::optional<core::reason>(submission)> submit;
    /// The caller of this request closed its connection.
    std::function<void(core::request_id)> caller_gone;
    /// The class of this name in the settings in force.
    std::function<std::optional<core::service_class>(const core::class_name&)>
        find_class;
    /// Models that some backend server has loaded.
    std::function<std::vector<core::model_name>()> models;
    /// Instances that this workspace may use.
    std::function<entry_answer(const core::workspace_id&)> entry;
    /// Counts a request that was refused before the decisions saw it.
    std::function<void(core::reason)> refused;
    /// The metrics page in the Prometheus text form.
    std::function<std::string()> metrics;
    /// True while new requests are taken.
    std::function<bool()> ready;
    /// JSON text that tells why a request went where it went; nothing when
    /// the request is not known here.
    std::function<std::optional<std::string>(core::request_id)> explain;
    /// JSON text of this instance's state for `oriolefall status`.
    std::function<std::string()> status;
};

} // namespace oriolefall::front

#endif

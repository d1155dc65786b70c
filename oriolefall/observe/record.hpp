#ifndef ORIOLEFALL_OBSERVE_RECORD_HPP
#define ORIOLEFALL_OBSERVE_RECORD_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/reason.hpp"
#include "oriolefall/core/tier.hpp"
#include "oriolefall/core/verdict.hpp"
#include "oriolefall/decision/action.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace oriolefall::observe {

/// The end of a request, with everything that the metrics need.
struct request_finished
{
    core::request_id request;
    core::workspace_id workspace;
    core::class_name service_class;
    core::tier tier = core::tier::standard;
    /// Server of the last call; empty if no call was made.
    core::backend_server_id server;
    core::verdict verdict;
    std::uint32_t calls = 0;
    /// Measured from the arrival; infinite if no token was received.
    absl::Duration first_token_time = absl::InfiniteDuration();
    absl::Duration whole_answer_time = absl::ZeroDuration();
    std::uint64_t tokens = 0;
    /// True if the whole answer met the latency targets of its class.
    bool attained = false;
    std::strong_ordering operator<=>(const request_finished&) const = default;
};

/// One step of a decision, with its time since the process started.
struct decision_step
{
    absl::Duration since_start;
    decision::record_decision step;
    std::partial_ordering operator<=>(const decision_step&) const = default;
};

/// A request that was refused before it reached the decision core.
struct early_refusal
{
    core::reason cause = core::reason::invalid_request;
    auto operator<=>(const early_refusal&) const = default;
};

/// Severity of a log entry.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// An entry for the log.
struct log_entry
{
    log_level level = log_level::info;
    /// Part of the system that logs the entry, such as "platform".
    std::string source;
    std::string message;
    auto operator<=>(const log_entry&) const = default;
};

/// Adds `amount` to the counter `name`, such as "peer_frames_refused_total",
/// with an optional label.
struct counter_added
{
    std::string name;
    std::string label;
    std::string label_value;
    std::uint64_t amount = 1;
    auto operator<=>(const counter_added&) const = default;
};

/// Receives the answer to a query.
using reply_ring = core::bounded_ring<std::string>;
using reply_ring_ptr = std::shared_ptr<reply_ring>;

/// Requests the metrics page.
struct metrics_query
{
    reply_ring_ptr reply;
};

/// Requests the explanation of a request's placement; the answer is empty if
/// the request is unknown.
struct explain_query
{
    core::request_id request;
    reply_ring_ptr reply;
};

using record =
    std::variant<request_finished, decision_step, early_refusal, log_entry,
                 counter_added, metrics_query, explain_query>;

} // namespace oriolefall::observe

#endif

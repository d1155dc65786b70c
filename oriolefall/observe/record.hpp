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

/// A request ended, with all that the metrics are made of.
struct request_finished
{
    core::request_id request;
    core::workspace_id workspace;
    core::class_name service_class;
    core::tier tier = core::tier::standard;
    /// Server of the last call; empty when there was none.
    core::backend_server_id server;
    core::verdict verdict;
    std::uint32_t calls = 0;
    /// From arrival; infinite when no token came.
    absl::Duration first_token = absl::InfiniteDuration();
    absl::Duration whole_answer = absl::ZeroDuration();
    std::uint64_t tokens = 0;
    /// True when the whole answer came within the targets of its class.
    bool attained = false;
    std::strong_ordering operator<=>(const request_finished&) const = default;
};

/// One step of a decision, at its time since the process started.
struct decision_step
{
    absl::Duration since_start;
    decision::record_decision step;
    std::partial_ordering operator<=>(const decision_step&) const = default;
};

/// A request that was refused before the decisions saw it.
struct early_refusal
{
    core::reason cause = core::reason::invalid_request;
    auto operator<=>(const early_refusal&) const = default;
};

/// How much a log line matters.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// A line for the log.
struct log_note
{
    log_level level = log_level::info;
    /// Part of the system that it comes from, such as "platform".
    std::string source;
    std::string message;
    auto operator<=>(const log_note&) const = default;
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

/// Where the answer to a query goes.
using reply_ring = core::bounded_ring<std::string>;
using reply_ring_ptr = std::shared_ptr<reply_ring>;

/// Asks for the metrics page.
struct metrics_query
{
    reply_ring_ptr reply;
};

/// Asks why a request went where it went; an empty answer when not known.
struct explain_query
{
    core::request_id request;
    reply_ring_ptr reply;
};

using record =
    std::variant<request_finished, decision_step, early_refusal, log_note,
                 counter_added, metrics_query, explain_query>;

} // namespace oriolefall::observe

#endif

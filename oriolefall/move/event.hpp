#ifndef ORIOLEFALL_MOVE_EVENT_HPP
#define ORIOLEFALL_MOVE_EVENT_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/move/lease.hpp"
#include "oriolefall/move/move_object.hpp"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace oriolefall::move {

/// A version of the move was read.
struct move_seen
{
    move_object object;
    std::uint64_t version = 0;
    std::partial_ordering operator<=>(const move_seen&) const = default;
};

/// A version of the lease was read; version 0: there is none.
struct lease_seen
{
    move::lease lease;
    std::uint64_t version = 0;
    auto operator<=>(const lease_seen&) const = default;
};

/// How a `write_lease` ended; nothing of it when `version` is 0.
struct lease_write_ended
{
    std::uint64_t version = 0;
    auto operator<=>(const lease_write_ended&) const = default;
};

/// How a `store_move` ended; it did not, or may not, apply when `version`
/// is 0.
struct move_write_ended
{
    std::uint64_t version = 0;
    auto operator<=>(const move_write_ended&) const = default;
};

/// What a backend server said to an order.
enum class order_outcome : std::uint8_t
{
    loading,
    loaded,
    refused, ///< its fencing number was old
    failed   ///< no answer, or an error
};

struct order_answered
{
    core::backend_server_id server;
    core::model_name model;
    order_outcome outcome = order_outcome::failed;
    auto operator<=>(const order_answered&) const = default;
};

/// Attainment of the latency target of one class since the last report.
struct class_figures
{
    core::class_name name;
    std::uint64_t answers = 0;
    /// Of these, within their target.
    std::uint64_t in_time = 0;
    auto operator<=>(const class_figures&) const = default;
};

struct figures_reported
{
    std::vector<class_figures> classes;
    auto operator<=>(const figures_reported&) const = default;
};

/// Whether a leaving server still runs work, of any instance.
struct server_load_seen
{
    core::backend_server_id server;
    std::uint64_t running = 0;
    auto operator<=>(const server_load_seen&) const = default;
};

/// Time has passed and nothing else happened.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

using event =
    std::variant<move_seen, lease_seen, lease_write_ended, move_write_ended,
                 order_answered, figures_reported, server_load_seen, tick>;

/// Replace the move if it still has this version; `move_write_ended` answers.
struct store_move
{
    move_object object;
    std::uint64_t expected_version = 0;
    std::partial_ordering operator<=>(const store_move&) const = default;
};

/// Order a backend server to load a model; `order_answered` answers. Repeating
/// it does no harm. It must not be sent after `send_before`.
struct send_order
{
    core::backend_server_id server;
    core::model_name model;
    std::uint64_t fencing_number = 0;
    absl::Time send_before = absl::InfiniteFuture();
    std::strong_ordering operator<=>(const send_order&) const = default;
};

using action = std::variant<write_lease, store_move, send_order>;

} // namespace oriolefall::move

#endif

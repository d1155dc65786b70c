#ifndef ORIOLEFALL_MOVE_EVENT_HPP
#define ORIOLEFALL_MOVE_EVENT_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/leasing/lease.hpp"
#include "oriolefall/move/move_object.hpp"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace oriolefall::move {

/// A version of the move was read from the platform.
struct move_received
{
    move_object object;
    std::uint64_t version = 0;
    std::partial_ordering operator<=>(const move_received&) const = default;
};

/// A version of the lease was read from the platform; version 0: it does not
/// exist.
struct lease_received
{
    leasing::lease lease;
    std::uint64_t version = 0;
    auto operator<=>(const lease_received&) const = default;
};

/// The result of a `write_lease`. Version 0: the write was not applied, or the
/// result is unknown.
struct lease_write_ended
{
    std::uint64_t version = 0;
    auto operator<=>(const lease_write_ended&) const = default;
};

/// The result of a `store_move`. Version 0: the write was not applied, or the
/// result is unknown.
struct move_write_ended
{
    std::uint64_t version = 0;
    auto operator<=>(const move_write_ended&) const = default;
};

/// How a backend server answered a command.
enum class command_outcome : std::uint8_t
{
    loading,
    loaded,
    refused, ///< the command's fencing number was too low
    failed   ///< no answer, or an error
};

struct command_answered
{
    core::backend_server_id server;
    core::model_name model;
    command_outcome outcome = command_outcome::failed;
    auto operator<=>(const command_answered&) const = default;
};

/// How often one class met its latency target since the last report.
struct class_attainment
{
    core::class_name name;
    std::uint64_t answers = 0;
    /// Number of these answers that met the target.
    std::uint64_t within_target = 0;
    auto operator<=>(const class_attainment&) const = default;
};

struct attainment_reported
{
    std::vector<class_attainment> classes;
    auto operator<=>(const attainment_reported&) const = default;
};

/// The work that a leaving server still runs for any instance.
struct server_load_reported
{
    core::backend_server_id server;
    std::uint64_t running = 0;
    auto operator<=>(const server_load_reported&) const = default;
};

/// Time has passed without any other event.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

using event = std::variant<move_received, lease_received, lease_write_ended,
                           move_write_ended, command_answered,
                           attainment_reported, server_load_reported, tick>;

/// Replace the move if it still has the expected version. The result is
/// reported by `move_write_ended`.
struct store_move
{
    move_object object;
    std::uint64_t expected_version = 0;
    std::partial_ordering operator<=>(const store_move&) const = default;
};

/// Command a backend server to load a model. Idempotent. It must not be sent
/// after `send_before`. The answer is reported by `command_answered`.
struct send_command
{
    core::backend_server_id server;
    core::model_name model;
    std::uint64_t fencing_number = 0;
    absl::Time send_before = absl::InfiniteFuture();
    std::strong_ordering operator<=>(const send_command&) const = default;
};

using action = std::variant<leasing::write_lease, store_move, send_command>;

} // namespace oriolefall::move

#endif

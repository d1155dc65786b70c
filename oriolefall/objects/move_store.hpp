#ifndef ORIOLEFALL_OBJECTS_MOVE_STORE_HPP
#define ORIOLEFALL_OBJECTS_MOVE_STORE_HPP

#include "oriolefall/core/settings_error.hpp"
#include "oriolefall/move/move_object.hpp"
#include "oriolefall/objects/object_store.hpp"
#include "oriolefall/settings/change.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::objects {

/// A move and its version in the store.
struct stored_move
{
    move::move_object object;
    std::uint64_t version = 0;
    std::partial_ordering operator<=>(const stored_move&) const = default;
};

/// The text of a move is invalid.
struct invalid_move
{
    std::vector<core::settings_error> faults;
    auto operator<=>(const invalid_move&) const = default;
};

/// The move has ended; its requested state can no longer change.
struct move_ended
{
    move::phase phase = move::phase::done;
    auto operator<=>(const move_ended&) const = default;
};

/// The team is not allowed to write the move.
struct move_write_refused
{
    settings::change_refusal reason = settings::change_refusal::wrong_key;
    auto operator<=>(const move_write_refused&) const = default;
};

using move_read_result =
    std::variant<stored_move, not_found, invalid_move, unavailable>;
using move_list_result = std::variant<std::vector<stored_move>, unavailable>;
using move_write_result =
    std::variant<written, conflict, not_found, invalid_move, move_ended,
                 move_write_refused, unavailable, unknown_outcome>;

/// Operations of `oriolefall move create|show|list|pause|resume|abort`:
///
///     client calls(client_settings{...});
///     move_store moves(calls.as_object_store(), instance.team_keys);
///     moves.create({team, key}, text);
///     moves.set_requested_state({team, key}, core::move_name("weekend"),
///                               move::requested_state::pause);
///
/// Checks the teams' keys, so it runs in an instance. Not thread-safe; all
/// calls of the store are made on the calling thread.
class move_store
{
public:
    move_store(object_store store, std::vector<settings::team_key> keys);

    /// Creates a move in phase `accepted`: from then on its leaving servers get
    /// no new work. Returns `conflict` when a move of this name exists.
    [[nodiscard]] move_write_result create(const settings::team_key& team_key,
                                           std::string_view text);
    [[nodiscard]] move_read_result show(const core::team_name& team,
                                        const core::move_name& name);
    /// All moves, except those whose text is invalid.
    [[nodiscard]] move_list_result list();
    /// Asks the lease holder to run, pause or abort the move. Retries when the
    /// holder changed the move at the same time.
    [[nodiscard]] move_write_result
    set_requested_state(const settings::team_key& team_key,
                        const core::move_name& name,
                        move::requested_state state);

private:
    object_store store_;
    std::vector<settings::team_key> keys_;
};

} // namespace oriolefall::objects

#endif

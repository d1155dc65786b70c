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

/// A move and the version that it has.
struct stored_move
{
    move::move_object object;
    std::uint64_t version = 0;
    std::partial_ordering operator<=>(const stored_move&) const = default;
};

/// The text of a move has these faults.
struct invalid_move
{
    std::vector<core::settings_error> faults;
    auto operator<=>(const invalid_move&) const = default;
};

/// The move has ended; it takes no more wishes.
struct move_ended
{
    move::phase phase = move::phase::done;
    auto operator<=>(const move_ended&) const = default;
};

/// The team may not write the move.
struct team_refused
{
    settings::change_refusal reason = settings::change_refusal::wrong_key;
    auto operator<=>(const team_refused&) const = default;
};

using move_read_result =
    std::variant<stored_move, not_found, invalid_move, unavailable>;
using move_list_result = std::variant<std::vector<stored_move>, unavailable>;
using move_write_result =
    std::variant<written, conflict, not_found, invalid_move, move_ended,
                 team_refused, unavailable, unknown_outcome>;

/// What `oriolefall move create|show|list|pause|resume|abort` does:
///
///     client calls(client_settings{...});
///     move_store moves(calls.as_object_store(), instance.team_keys);
///     moves.create({team, key}, text);
///     moves.set_wish({team, key}, core::move_name("weekend"),
///                    move::requested_state::pause);
///
/// It checks the teams' keys, so it runs in an instance. One thread, which
/// makes all calls of the store.
class move_store
{
public:
    move_store(object_store store, std::vector<settings::team_key> keys);

    /// Accepts a move: from here on its leaving servers get no new work.
    /// `conflict` when there is one of this name.
    [[nodiscard]] move_write_result create(const settings::team_key& who,
                                           std::string_view text);
    [[nodiscard]] move_read_result show(const core::team_name& team,
                                        const core::move_name& name);
    /// Moves whose text cannot be read are left out.
    [[nodiscard]] move_list_result list();
    /// Asks the holder to run, pause or abort; tries again when the holder
    /// took a step at the same moment.
    [[nodiscard]] move_write_result set_wish(const settings::team_key& who,
                                             const core::move_name& name,
                                             move::requested_state wish);

private:
    object_store store_;
    std::vector<settings::team_key> keys_;
};

} // namespace oriolefall::objects

#endif

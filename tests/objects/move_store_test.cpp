#include "oriolefall/objects/move_json.hpp"
#include "oriolefall/objects/move_store.hpp"
#include "tests/objects/platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace oriolefall;
using objects::written;
using tests::platform_fixture;

namespace {

const core::move_name name("weekend");
const settings::team_key ops{core::team_name("ops"), "key-of-the-ops-1"};
const settings::team_key club{core::team_name("club"), "key-of-the-club1"};
constexpr const char* text =
    R"({"name": "weekend", "team": "ops", "leaving": ["a"],
    "phase": "draining", "percent": 50})";

struct operator_session
{
    explicit operator_session(platform_fixture& platform)
        : client(platform.settings()),
          moves(client.as_object_store(), {ops, club})
    {
    }

    objects::client client;
    objects::move_store moves;
};

} // namespace

Test(move_store, created_move_is_shown_and_listed)
{
    platform_fixture platform;
    operator_session session(platform);
    cr_assert(std::holds_alternative<objects::not_found>(
        session.moves.show(ops.team, name)));
    const auto created = std::get<written>(session.moves.create(ops, text));
    const auto shown =
        std::get<objects::stored_move>(session.moves.show(ops.team, name));
    cr_assert_eq(shown.version, created.version);
    cr_assert(shown.object.phase == move::phase::accepted);
    cr_assert_eq(shown.object.percent, 0);
    const auto all =
        std::get<std::vector<objects::stored_move>>(session.moves.list());
    cr_assert(all == std::vector{shown});
}

Test(move_store, refuses_duplicate_names_and_invalid_moves)
{
    platform_fixture platform;
    operator_session session(platform);
    const auto created = std::get<written>(session.moves.create(ops, text));
    const objects::conflict existing{created.version};
    cr_assert(session.moves.create(ops, text) ==
              objects::move_write_result(existing));
    const auto invalid =
        session.moves.create(ops, R"({"name": "m", "team": "ops"})");
    cr_assert_eq(std::get<objects::invalid_move>(invalid).faults.size(), 1);
}

Test(move_store, requested_state_changes_until_the_move_has_ended)
{
    platform_fixture platform;
    operator_session session(platform);
    cr_assert(std::holds_alternative<objects::not_found>(
        session.moves.set_requested_state(ops, name,
                                          move::requested_state::pause)));
    cr_assert(std::holds_alternative<written>(session.moves.create(ops, text)));
    cr_assert(std::holds_alternative<written>(session.moves.set_requested_state(
        ops, name, move::requested_state::pause)));
    auto shown =
        std::get<objects::stored_move>(session.moves.show(ops.team, name));
    cr_assert(shown.object.requested_state == move::requested_state::pause);
    shown.object.phase = move::phase::done;
    const auto ended = session.client.put(objects::move_path(ops.team, name),
                                          objects::print_move(shown.object),
                                          objects::if_version{shown.version});
    cr_assert(std::holds_alternative<written>(ended));
    cr_assert(std::holds_alternative<objects::move_ended>(
        session.moves.set_requested_state(ops, name,
                                          move::requested_state::abort)));
}

Test(move_store, writes_are_unavailable_during_an_outage)
{
    platform_fixture platform;
    operator_session session(platform);
    platform.set_faults(R"({"outage":true})");
    cr_assert(std::holds_alternative<objects::unavailable>(
        session.moves.create(ops, text)));
    cr_assert(std::holds_alternative<objects::unavailable>(
        session.moves.set_requested_state(ops, name,
                                          move::requested_state::abort)));
}

Test(move_store, accepts_writes_only_from_the_team_of_the_move)
{
    platform_fixture platform;
    operator_session session(platform);
    const auto refused_for = [](settings::change_refusal reason) {
        return objects::move_write_result(objects::move_write_refused{reason});
    };
    using settings::change_refusal;
    cr_assert(session.moves.create(club, text) ==
              refused_for(change_refusal::outside_subtree));
    const settings::team_key wrong{ops.team, club.key};
    cr_assert(session.moves.create(wrong, text) ==
              refused_for(change_refusal::wrong_key));
    cr_assert(std::holds_alternative<written>(session.moves.create(ops, text)));
    cr_assert(session.moves.set_requested_state(wrong, name,
                                                move::requested_state::abort) ==
              refused_for(change_refusal::wrong_key));
    cr_assert(std::holds_alternative<objects::not_found>(
        session.moves.set_requested_state(club, name,
                                          move::requested_state::abort)));
}

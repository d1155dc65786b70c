#include "oriolefall/objects/move_store.hpp"
#include "oriolefall/objects/move_text.hpp"
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

struct session
{
    explicit session(platform_fixture& platform)
        : client(platform.settings()),
          moves(client.as_object_store(), {ops, club})
    {
    }

    objects::client client;
    objects::move_store moves;
};

} // namespace

Test(move_store, creates_shows_and_lists)
{
    platform_fixture platform;
    session some(platform);
    cr_assert(std::holds_alternative<objects::not_found>(
        some.moves.show(ops.team, name)));
    const auto created = std::get<written>(some.moves.create(ops, text));
    const auto shown =
        std::get<objects::stored_move>(some.moves.show(ops.team, name));
    cr_assert_eq(shown.version, created.version);
    cr_assert(shown.object.phase == move::phase::accepted);
    cr_assert_eq(shown.object.percent, 0);
    const auto all =
        std::get<std::vector<objects::stored_move>>(some.moves.list());
    cr_assert(all == std::vector{shown});
}

Test(move_store, refuses_a_second_move_of_one_name_and_a_faulty_one)
{
    platform_fixture platform;
    session some(platform);
    const auto created = std::get<written>(some.moves.create(ops, text));
    const objects::conflict taken{created.version};
    cr_assert(some.moves.create(ops, text) ==
              objects::move_write_result(taken));
    const auto faulty =
        some.moves.create(ops, R"({"name": "m", "team": "ops"})");
    cr_assert_eq(std::get<objects::invalid_move>(faulty).faults.size(), 1);
}

Test(move_store, sets_wishes_until_the_move_has_ended)
{
    platform_fixture platform;
    session some(platform);
    cr_assert(std::holds_alternative<objects::not_found>(
        some.moves.set_wish(ops, name, move::requested_state::pause)));
    cr_assert(std::holds_alternative<written>(some.moves.create(ops, text)));
    cr_assert(std::holds_alternative<written>(
        some.moves.set_wish(ops, name, move::requested_state::pause)));
    auto shown =
        std::get<objects::stored_move>(some.moves.show(ops.team, name));
    cr_assert(shown.object.requested_state == move::requested_state::pause);
    shown.object.phase = move::phase::done;
    const auto ended = some.client.put(objects::move_path(ops.team, name),
                                       objects::print_move(shown.object),
                                       objects::if_version{shown.version});
    cr_assert(std::holds_alternative<written>(ended));
    cr_assert(std::holds_alternative<objects::move_ended>(
        some.moves.set_wish(ops, name, move::requested_state::abort)));
}

Test(move_store, an_outage_is_unavailable)
{
    platform_fixture platform;
    session some(platform);
    platform.set_faults(R"({"outage":true})");
    cr_assert(std::holds_alternative<objects::unavailable>(
        some.moves.create(ops, text)));
    cr_assert(std::holds_alternative<objects::unavailable>(
        some.moves.set_wish(ops, name, move::requested_state::abort)));
}

Test(move_store, takes_moves_and_wishes_of_their_team_only)
{
    platform_fixture platform;
    session some(platform);
    const auto refused_for = [](settings::change_refusal reason) {
        return objects::move_write_result(objects::team_refused{reason});
    };
    using settings::change_refusal;
    cr_assert(some.moves.create(club, text) ==
              refused_for(change_refusal::outside_subtree));
    const settings::team_key wrong{ops.team, club.key};
    cr_assert(some.moves.create(wrong, text) ==
              refused_for(change_refusal::wrong_key));
    cr_assert(std::holds_alternative<written>(some.moves.create(ops, text)));
    cr_assert(some.moves.set_wish(wrong, name, move::requested_state::abort) ==
              refused_for(change_refusal::wrong_key));
    cr_assert(std::holds_alternative<objects::not_found>(
        some.moves.set_wish(club, name, move::requested_state::abort)));
}

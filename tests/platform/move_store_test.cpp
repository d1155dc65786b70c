#include "oriolefall/platform/move_store.hpp"
#include "oriolefall/platform/move_text.hpp"
#include "tests/platform/platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace oriolefall;
using platform::written;
using tests::platform_fixture;

namespace {

const core::move_name name("weekend");
constexpr const char* text = R"({"name": "weekend", "leaving": ["a"],
    "phase": "draining", "percent": 50})";

struct session
{
    explicit session(platform_fixture& platform)
        : client(platform.settings()), moves(client.as_object_store())
    {
    }

    platform::client client;
    platform::move_store moves;
};

} // namespace

Test(move_store, creates_shows_and_lists)
{
    platform_fixture platform;
    session some(platform);
    cr_assert(
        std::holds_alternative<platform::not_found>(some.moves.show(name)));
    const auto created = std::get<written>(some.moves.create(text));
    const auto shown = std::get<platform::stored_move>(some.moves.show(name));
    cr_assert_eq(shown.version, created.version);
    cr_assert(shown.object.phase == move::phase::accepted);
    cr_assert_eq(shown.object.percent, 0);
    const auto all =
        std::get<std::vector<platform::stored_move>>(some.moves.list());
    cr_assert(all == std::vector{shown});
}

Test(move_store, refuses_a_second_move_of_one_name_and_a_faulty_one)
{
    platform_fixture platform;
    session some(platform);
    const auto created = std::get<written>(some.moves.create(text));
    const platform::conflict taken{created.version};
    cr_assert(some.moves.create(text) == platform::move_write_result(taken));
    const auto faulty = some.moves.create(R"({"name": "m"})");
    cr_assert_eq(std::get<platform::invalid_move>(faulty).faults.size(), 1);
}

Test(move_store, sets_wishes_until_the_move_has_ended)
{
    platform_fixture platform;
    session some(platform);
    cr_assert(std::holds_alternative<platform::not_found>(
        some.moves.set_wish(name, move::wish::pause)));
    cr_assert(std::holds_alternative<written>(some.moves.create(text)));
    cr_assert(std::holds_alternative<written>(
        some.moves.set_wish(name, move::wish::pause)));
    auto shown = std::get<platform::stored_move>(some.moves.show(name));
    cr_assert(shown.object.wish == move::wish::pause);
    shown.object.phase = move::phase::done;
    const auto ended = some.client.put(platform::move_path(name),
                                       platform::print_move(shown.object),
                                       platform::if_version{shown.version});
    cr_assert(std::holds_alternative<written>(ended));
    cr_assert(std::holds_alternative<platform::move_ended>(
        some.moves.set_wish(name, move::wish::abort)));
}

Test(move_store, an_outage_is_unavailable)
{
    platform_fixture platform;
    session some(platform);
    platform.set_faults(R"({"outage":true})");
    cr_assert(
        std::holds_alternative<platform::unavailable>(some.moves.create(text)));
    cr_assert(std::holds_alternative<platform::unavailable>(
        some.moves.set_wish(name, move::wish::abort)));
}

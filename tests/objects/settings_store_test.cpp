#include "oriolefall/objects/settings_store.hpp"
#include "tests/objects/platform_fixture.hpp"

#include <atomic>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using objects::change_accepted;
using settings::change_refusal;
using settings::change_refused;
using tests::platform_fixture;

namespace {

const std::vector<settings::team_key> keys{
    {core::team_name("a"), "key-of-team-a-01"},
    {core::team_name("b"), "key-of-team-b-01"}};

/// Client and settings store of one operator.
struct operator_session
{
    explicit operator_session(platform_fixture& platform)
        : client(platform.settings()), tree(client.as_object_store(), keys)
    {
    }

    objects::change_result put(const std::string& team, const std::string& text)
    {
        return tree.put({core::team_name(team), "key-of-team-" + team + "-01",
                         "/teams/" + team + "/main", text, std::nullopt});
    }

    objects::client client;
    objects::settings_store tree;
};

std::string workspace_settings(const std::string& name)
{
    return R"({"workspaces":[{"name":")" + name + "\"}]}";
}

change_refusal refusal_of(const objects::change_result& result)
{
    const auto* refused = std::get_if<change_refused>(&result);
    cr_assert_not_null(refused);
    return refused->reason;
}

} // namespace

Test(settings_store, change_can_be_read_and_listed)
{
    platform_fixture platform;
    operator_session session(platform);
    const auto accepted =
        std::get<change_accepted>(session.put("a", workspace_settings("w")));
    const auto object =
        std::get<settings::tree_object>(session.tree.get("/teams/a/main"));
    cr_assert_eq(object.version, accepted.version);
    cr_assert_eq(object.value, workspace_settings("w"));
    const auto all =
        std::get<std::vector<settings::tree_object>>(session.tree.list());
    cr_assert(all == std::vector{object});
    cr_assert(std::holds_alternative<objects::not_found>(
        session.tree.get("/claims/x/y")));
}

Test(settings_store, refused_change_writes_nothing)
{
    platform_fixture platform;
    operator_session session(platform);
    cr_assert(refusal_of(session.put("a", R"({"colour":1})")) ==
              change_refusal::invalid);
    cr_assert(refusal_of(session.put("c", "{}")) ==
              change_refusal::unknown_team);
    const auto all =
        std::get<std::vector<settings::tree_object>>(session.tree.list());
    cr_assert(all.empty());
}

Test(settings_store, outdated_expected_version_is_a_conflict)
{
    platform_fixture platform;
    operator_session session(platform);
    const auto first =
        std::get<change_accepted>(session.put("a", workspace_settings("w")));
    const auto second =
        std::get<change_accepted>(session.put("a", workspace_settings("x")));
    const auto result =
        session.tree.put({core::team_name("a"), "key-of-team-a-01",
                          "/teams/a/main", "{}", first.version});
    const change_refused expected{change_refusal::conflict, {}, second.version};
    cr_assert(result == objects::change_result(expected));
}

Test(settings_store, change_is_accepted_despite_a_lost_answer)
{
    platform_fixture platform;
    operator_session session(platform);
    platform.set_faults(R"({"lose_answers":1})");
    cr_assert(std::holds_alternative<change_accepted>(
        session.put("a", workspace_settings("w"))));
}

Test(settings_store, change_is_unavailable_during_an_outage)
{
    platform_fixture platform;
    operator_session session(platform);
    platform.set_faults(R"({"outage":true})");
    cr_assert(refusal_of(session.put("a", "{}")) ==
              change_refusal::unavailable);
}

Test(settings_store, concurrent_changes_of_two_teams_are_all_accepted)
{
    constexpr int rounds = 20;
    platform_fixture platform;
    std::atomic<int> accepted = 0;
    const auto run = [&](const std::string& team) {
        operator_session session(platform);
        for (int i = 0; i < rounds; ++i) {
            const auto result =
                session.put(team, workspace_settings(core::concat(team, i)));
            accepted += std::holds_alternative<change_accepted>(result);
        }
    };
    std::thread first(run, "a");
    std::thread second(run, "b");
    first.join();
    second.join();
    cr_assert_eq(accepted.load(), 2 * rounds);
}

Test(settings_store, concurrent_changes_to_one_object_are_not_lost)
{
    constexpr int rounds = 20;
    platform_fixture platform;
    std::atomic<int> accepted = 0;
    std::atomic<int> conflicts = 0;
    const auto run = [&](const std::string& name) {
        operator_session session(platform);
        for (int i = 0; i < rounds; ++i) {
            const auto result =
                session.put("a", workspace_settings(core::concat(name, i)));
            if (std::holds_alternative<change_accepted>(result))
                ++accepted;
            else if (refusal_of(result) == change_refusal::conflict)
                ++conflicts;
        }
    };
    std::thread first(run, "x");
    std::thread second(run, "y");
    first.join();
    second.join();
    cr_assert_eq(accepted.load() + conflicts.load(), 2 * rounds);
    operator_session session(platform);
    const auto object =
        std::get<settings::tree_object>(session.tree.get("/teams/a/main"));
    // Each accepted change has increased the version of the store by one.
    cr_assert_eq(object.version, static_cast<std::uint64_t>(accepted.load()));
}

Test(settings_store, wait_ends_when_no_instance_lags)
{
    objects::stop_signal stop;
    objects::in_force_wait_settings fast_settings;
    fast_settings.backoff = {absl::Milliseconds(1), absl::Milliseconds(2)};
    int poll_count = 0;
    const auto result = objects::wait_until_in_force(
        {"/teams/a/main", 7},
        [&](const settings::path_version& version) {
            cr_assert_eq(version.version, 7);
            std::vector<core::instance_id> lagging;
            if (++poll_count < 4)
                lagging.emplace_back("i-1");
            return lagging;
        },
        fast_settings, stop);
    cr_assert(std::holds_alternative<objects::in_force_everywhere>(result));
    cr_assert_eq(poll_count, 4);
}

Test(settings_store, timeout_returns_the_lagging_instances)
{
    objects::stop_signal stop;
    objects::in_force_wait_settings fast_settings;
    fast_settings.backoff = {absl::Milliseconds(1), absl::Milliseconds(2)};
    fast_settings.timeout = absl::Milliseconds(10);
    std::vector<core::instance_id> lagging{core::instance_id("i-1")};
    const auto result = objects::wait_until_in_force(
        {"/teams/a/main", 7}, [&](const auto&) { return lagging; },
        fast_settings, stop);
    cr_assert(result ==
              objects::in_force_result(objects::not_yet_in_force{lagging}));
}

#include "stand_ins/platform_server.hpp"
#include "tests/cli/program.hpp"
#include "tests/cli/temporary_file.hpp"

#include <cstdlib>
#include <httplib.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::program_result;
using tests::run_program;
using tests::temporary_file;

namespace {

constexpr const char* team_key_variable = "ORIOLEFALL_TEAM_KEY";
constexpr const char* team_a_key = "key-of-team-a-0001";

/// A platform stand-in and the settings file of an instance that uses it.
struct platform_fixture
{
    platform_fixture() : server(1000, {.port = 0, .threads = 8})
    {
        ::setenv(team_key_variable, team_a_key, 1);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    /// Runs a command with `--instance` and the settings file.
    [[nodiscard]] program_result run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), {"--instance", instance.name()});
        return run_program(arguments);
    }

    stand_ins::platform_server server;
    temporary_file instance{
        R"({"instance":"i","location":{"region":"r","failure_domain":"d"},)"
        R"("peer_key":"a-peer-key-of-16-bytes","platform":")" +
        address() + R"(","team_keys":[{"team":"a","key":")" + team_a_key +
        R"("}]})"};
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(platform, settings_can_be_put_read_listed_and_watched)
{
    const platform_fixture fixture;
    const temporary_file file(R"({/* one */ "workspaces":[{"name":"w"}]})");
    const program_result put =
        fixture.run({"settings", "put", "/teams/a/main", file.name()});
    cr_assert_eq(put.exit_status, 0, "%s%s", put.out.c_str(), put.err.c_str());
    const std::string value = R"("value":{"workspaces":[{"name":"w"}]})";
    const program_result get =
        fixture.run({"settings", "get", "/teams/a/main"});
    cr_assert_eq(get.exit_status, 0);
    cr_assert(contains(get.out, value), "%s", get.out.c_str());
    const program_result list =
        run_program({"settings", "list", "--platform", fixture.address()});
    cr_assert_eq(list.out, get.out);
    const program_result watch =
        fixture.run({"settings", "watch", "--changes", "1"});
    cr_assert_eq(watch.exit_status, 0, "%s", watch.err.c_str());
    cr_assert(contains(watch.out, value), "%s", watch.out.c_str());
}

Test(platform, refused_settings_report_the_reason)
{
    const platform_fixture fixture;
    const temporary_file valid("{}");
    const temporary_file faulty(R"({"colour":"red"})");
    const program_result invalid =
        fixture.run({"settings", "put", "/teams/a/main", faulty.name()});
    cr_assert_eq(invalid.exit_status, 2);
    cr_assert(contains(invalid.out, faulty.name() + ": /colour: found"), "%s",
              invalid.out.c_str());
    const program_result other_team =
        fixture.run({"settings", "put", "/teams/b/main", valid.name()});
    cr_assert_eq(other_team.exit_status, 1);
    cr_assert(contains(other_team.err, "unknown_team"), "%s",
              other_team.err.c_str());
    const program_result outdated = fixture.run(
        {"settings", "put", "/teams/a/main", valid.name(), "--expect", "77"});
    cr_assert_eq(outdated.exit_status, 1);
    cr_assert(contains(outdated.err, "conflict"), "%s", outdated.err.c_str());
    ::setenv(team_key_variable, "another-key-of-16-b", 1);
    const program_result wrong_key =
        fixture.run({"settings", "put", "/teams/a/main", valid.name()});
    cr_assert_eq(wrong_key.exit_status, 1);
    cr_assert(contains(wrong_key.err, "wrong_key"), "%s",
              wrong_key.err.c_str());
    cr_assert_eq(fixture.run({"settings", "get", "/teams/a/main"}).exit_status,
                 1);
}

Test(platform, moves_are_created_and_controlled)
{
    const platform_fixture fixture;
    const temporary_file file(
        R"({"name":"weekend","team":"a","leaving":["e1"]})");
    cr_assert_eq(
        fixture.run({"move", "create", file.name(), "--team", "a"}).exit_status,
        0);
    const program_result again =
        fixture.run({"move", "create", file.name(), "--team", "a"});
    cr_assert_eq(again.exit_status, 1);
    cr_assert(contains(again.err, "conflict"), "%s", again.err.c_str());
    cr_assert_eq(
        fixture.run({"move", "pause", "weekend", "--team", "a"}).exit_status,
        0);
    const program_result shown =
        fixture.run({"move", "show", "weekend", "--team", "a"});
    cr_assert(contains(shown.out, "pause"), "%s", shown.out.c_str());
    cr_assert_eq(
        fixture.run({"move", "resume", "weekend", "--team", "a"}).exit_status,
        0);
    cr_assert_eq(
        fixture.run({"move", "abort", "weekend", "--team", "a"}).exit_status,
        0);
    const program_result list = fixture.run({"move", "list"});
    cr_assert(contains(list.out, R"("move":"weekend")"), "%s",
              list.out.c_str());
    const program_result other_team =
        fixture.run({"move", "pause", "weekend", "--team", "b"});
    cr_assert_eq(other_team.exit_status, 1);
    cr_assert(contains(other_team.err, "unknown_team"), "%s",
              other_team.err.c_str());
    cr_assert_eq(
        fixture.run({"move", "show", "none", "--team", "a"}).exit_status, 1);
    cr_assert_eq(
        fixture.run({"move", "pause", "none", "--team", "a"}).exit_status, 1);
}

Test(platform, invalid_move_prints_each_fault_and_gives_status_2)
{
    const platform_fixture fixture;
    const temporary_file file(R"({"name":"weekend","team":"a","colour":1})");
    const program_result result =
        fixture.run({"move", "create", file.name(), "--team", "a"});
    cr_assert_eq(result.exit_status, 2);
    cr_assert(contains(result.out, file.name() + ": /colour: found 1"), "%s",
              result.out.c_str());
}

Test(platform, store_outage_gives_status_1)
{
    const platform_fixture fixture;
    httplib::Client http("127.0.0.1", fixture.server.port());
    http.Post("/faults", R"({"outage":true})", "application/json");
    const program_result result = fixture.run({"settings", "list"});
    cr_assert_eq(result.exit_status, 1);
    cr_assert(contains(result.err, "outage"), "%s", result.err.c_str());
}

Test(platform, bad_arguments_of_actions_give_status_2)
{
    const auto expect_bad = [](const std::vector<std::string>& arguments,
                               const std::string& expected_text) {
        const program_result result = run_program(arguments);
        cr_assert_eq(result.exit_status, 2);
        cr_assert(contains(result.err, expected_text), "%s",
                  result.err.c_str());
    };
    expect_bad({"settings"}, "action is missing");
    expect_bad({"settings", "juggle"}, "\"juggle\"");
    expect_bad({"settings", "get"}, "PATH is missing");
    expect_bad({"settings", "list"}, "--platform");
    expect_bad({"settings", "list", "--platform", "here"}, "\"here\"");
    expect_bad({"move", "create", "--platform", "127.0.0.1:1", "--team", "a"},
               "FILE is missing");
    expect_bad({"move", "show", "weekend", "--platform", "127.0.0.1:1"},
               "--team");
    cr_assert_eq(run_program({"move", "pause", "--help"}).exit_status, 0);
}

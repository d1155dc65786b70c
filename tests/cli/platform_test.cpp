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

constexpr const char* key_variable = "ORIOLEFALL_TEAM_KEY";
constexpr const char* key_of_a = "key-of-team-a-0001";

/// A platform and the settings file of an instance that uses it.
struct operators_desk
{
    operators_desk() : server(1000, {.port = 0, .threads = 8})
    {
        ::setenv(key_variable, key_of_a, 1);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    /// Runs a command with --instance.
    [[nodiscard]] program_result run(std::vector<std::string> words) const
    {
        words.insert(words.end(), {"--instance", instance.name()});
        return run_program(words);
    }

    stand_ins::platform_server server;
    temporary_file instance{
        R"({"instance":"i","location":{"region":"r","failure_domain":"d"},)"
        R"("peer_key":"a-peer-key-of-16-bytes","platform":")" +
        address() + R"(","team_keys":[{"team":"a","key":")" + key_of_a +
        R"("}]})"};
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(platform, settings_are_put_got_listed_and_watched)
{
    const operators_desk desk;
    const temporary_file file(R"({/* one */ "workspaces":[{"name":"w"}]})");
    const program_result put =
        desk.run({"settings", "put", "/teams/a/main", file.name()});
    cr_assert_eq(put.exit_status, 0, "%s%s", put.out.c_str(), put.err.c_str());
    const std::string value = R"("value":{"workspaces":[{"name":"w"}]})";
    const program_result get = desk.run({"settings", "get", "/teams/a/main"});
    cr_assert_eq(get.exit_status, 0);
    cr_assert(contains(get.out, value), "%s", get.out.c_str());
    const program_result list =
        run_program({"settings", "list", "--platform", desk.address()});
    cr_assert_eq(list.out, get.out);
    const program_result watch =
        desk.run({"settings", "watch", "--changes", "1"});
    cr_assert_eq(watch.exit_status, 0, "%s", watch.err.c_str());
    cr_assert(contains(watch.out, value), "%s", watch.out.c_str());
}

Test(platform, refused_settings_tell_why)
{
    const operators_desk desk;
    const temporary_file sound("{}");
    const temporary_file faulty(R"({"colour":"red"})");
    const program_result invalid =
        desk.run({"settings", "put", "/teams/a/main", faulty.name()});
    cr_assert_eq(invalid.exit_status, 2);
    cr_assert(contains(invalid.out, faulty.name() + ": /colour: found"), "%s",
              invalid.out.c_str());
    const program_result other =
        desk.run({"settings", "put", "/teams/b/main", sound.name()});
    cr_assert_eq(other.exit_status, 1);
    cr_assert(contains(other.err, "unknown_team"), "%s", other.err.c_str());
    const program_result late = desk.run(
        {"settings", "put", "/teams/a/main", sound.name(), "--expect", "77"});
    cr_assert_eq(late.exit_status, 1);
    cr_assert(contains(late.err, "conflict"), "%s", late.err.c_str());
    ::setenv(key_variable, "another-key-of-16-b", 1);
    const program_result wrong =
        desk.run({"settings", "put", "/teams/a/main", sound.name()});
    cr_assert_eq(wrong.exit_status, 1);
    cr_assert(contains(wrong.err, "wrong_key"), "%s", wrong.err.c_str());
    cr_assert_eq(desk.run({"settings", "get", "/teams/a/main"}).exit_status, 1);
}

Test(platform, moves_are_created_and_steered)
{
    const operators_desk desk;
    const temporary_file file(
        R"({"name":"weekend","team":"a","leaving":["e1"]})");
    cr_assert_eq(
        desk.run({"move", "create", file.name(), "--team", "a"}).exit_status,
        0);
    const program_result again =
        desk.run({"move", "create", file.name(), "--team", "a"});
    cr_assert_eq(again.exit_status, 1);
    cr_assert(contains(again.err, "conflict"), "%s", again.err.c_str());
    cr_assert_eq(
        desk.run({"move", "pause", "weekend", "--team", "a"}).exit_status, 0);
    const program_result shown =
        desk.run({"move", "show", "weekend", "--team", "a"});
    cr_assert(contains(shown.out, "pause"), "%s", shown.out.c_str());
    cr_assert_eq(
        desk.run({"move", "resume", "weekend", "--team", "a"}).exit_status, 0);
    cr_assert_eq(
        desk.run({"move", "abort", "weekend", "--team", "a"}).exit_status, 0);
    const program_result list = desk.run({"move", "list"});
    cr_assert(contains(list.out, R"("move":"weekend")"), "%s",
              list.out.c_str());
    const program_result other =
        desk.run({"move", "pause", "weekend", "--team", "b"});
    cr_assert_eq(other.exit_status, 1);
    cr_assert(contains(other.err, "unknown_team"), "%s", other.err.c_str());
    cr_assert_eq(desk.run({"move", "show", "none", "--team", "a"}).exit_status,
                 1);
    cr_assert_eq(desk.run({"move", "pause", "none", "--team", "a"}).exit_status,
                 1);
}

Test(platform, faulty_move_is_one_line_a_fault_and_status_2)
{
    const operators_desk desk;
    const temporary_file file(R"({"name":"weekend","team":"a","colour":1})");
    const program_result result =
        desk.run({"move", "create", file.name(), "--team", "a"});
    cr_assert_eq(result.exit_status, 2);
    cr_assert(contains(result.out, file.name() + ": /colour: found 1"), "%s",
              result.out.c_str());
}

Test(platform, outage_is_status_1)
{
    const operators_desk desk;
    httplib::Client http("127.0.0.1", desk.server.port());
    http.Post("/faults", R"({"outage":true})", "application/json");
    const program_result result = desk.run({"settings", "list"});
    cr_assert_eq(result.exit_status, 1);
    cr_assert(contains(result.err, "outage"), "%s", result.err.c_str());
}

Test(platform, actions_check_their_arguments)
{
    const auto expect_bad = [](const std::vector<std::string>& words,
                               const std::string& told) {
        const program_result result = run_program(words);
        cr_assert_eq(result.exit_status, 2);
        cr_assert(contains(result.err, told), "%s", result.err.c_str());
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

#include "stand_ins/platform_server.hpp"

#include <nlohmann/json.hpp>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall::stand_ins;
using nlohmann::json;

namespace {

constexpr const char* json_type = "application/json";

struct served_platform
{
    platform_server server{100, {0, 8}};
    httplib::Client client{"127.0.0.1", server.port()};

    httplib::Result put(const char* path, const httplib::Headers& headers = {})
    {
        return client.Put(path, headers, R"({"value":{"a":1}})", json_type);
    }
};

} // namespace

Test(platform_server, conditional_updates_answer_412_with_the_version)
{
    served_platform platform;
    cr_assert_eq(platform.put("/objects/x", {{"If-None-Match", "*"}})->status,
                 200);
    const auto taken = platform.put("/objects/x", {{"If-None-Match", "*"}});
    cr_assert_eq(taken->status, 412);
    cr_assert_eq(json::parse(taken->body)["version"], 1);
    cr_assert_eq(platform.put("/objects/x", {{"If-Match", "7"}})->status, 412);
    cr_assert_eq(platform.put("/objects/x", {{"If-Match", "1"}})->status, 200);
    const auto gone = platform.client.Delete("/objects/x", {{"If-Match", "1"}});
    cr_assert_eq(gone->status, 412);
}

Test(platform_server, a_lost_answer_cuts_the_connection)
{
    served_platform platform;
    platform.client.Post("/faults", R"({"lose_answers":1})", json_type);
    cr_assert_not(platform.put("/objects/x"));
    const auto read = platform.client.Get("/objects/x");
    cr_assert_eq(json::parse(read->body)["value"]["a"], 1);
}

Test(platform_server, a_watch_is_woken_by_a_write)
{
    served_platform platform;
    std::string woken;
    std::thread watcher([&] {
        httplib::Client client("127.0.0.1", platform.server.port());
        client.set_read_timeout(120);
        woken =
            client.Get("/watch?prefix=/teams/&from=0&timeout_ms=60000")->body;
    });
    platform.put("/objects/teams/a");
    watcher.join();
    cr_assert_eq(json::parse(woken)["events"][0]["path"], "/teams/a");
}

Test(platform_server, refuses_what_it_cannot_hold)
{
    served_platform platform;
    const std::string large(1024 * 1024, 'x');
    const json body{{"value", large}};
    cr_assert_eq(
        platform.client.Put("/objects/x", body.dump(), json_type)->status, 413);
    cr_assert_eq(platform.client.Put("/objects/x", "{", json_type)->status,
                 400);
    cr_assert_eq(platform.client.Get("/objects/x")->status, 404);
}

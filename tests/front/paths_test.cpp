#include "tests/front/front_fixture.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;
using tests::front_fixture;

namespace {

std::optional<core::reason>
answer_with_path(const front::submission& submission)
{
    submission.answers->push(
        core::answer_body{201, "application/json",
                          json{{"path", submission.payload->path}}.dump()});
    tests::push_answer_end(submission.answers, core::ran{});
    return std::nullopt;
}

httplib::Result post(const front_fixture& fixture, const std::string& path,
                     httplib::Headers headers)
{
    headers.emplace("X-Workspace", "astana");
    httplib::Client client("127.0.0.1", fixture.port());
    return client.Post(path, headers, "{}", "application/json");
}

httplib::Result get(const front_fixture& fixture, const std::string& path)
{
    httplib::Client client("127.0.0.1", fixture.port());
    return client.Get(path);
}

} // namespace

Test(paths, answer_of_a_plain_service_is_forwarded)
{
    front_fixture fixture(answer_with_path);
    const auto plain = post(fixture, "/v1/services/entries", {});
    cr_assert_eq(plain->status, 201);
    cr_assert_eq(json::parse(plain->body).at("path"), "/entries");
    const auto nested = post(fixture, "/v1/services/entries/relay/3", {});
    cr_assert_eq(json::parse(nested->body).at("path"), "/relay/3");
}

Test(paths, class_that_is_not_idempotent_requires_a_key)
{
    front_fixture fixture(answer_with_path);
    const auto without_key = post(fixture, "/v1/services/payments", {});
    cr_assert_eq(without_key->status, 400);
    const auto with_key =
        post(fixture, "/v1/services/payments", {{"Idempotency-Key", "k1"}});
    cr_assert_eq(with_key->status, 201);
}

Test(paths, class_of_the_wrong_kind_is_unknown)
{
    front_fixture fixture(answer_with_path);
    cr_assert_eq(post(fixture, "/v1/services/rules", {})->status, 404);
    cr_assert_eq(post(fixture, "/v1/services/none", {})->status, 404);
    cr_assert_eq(fixture.refusal_count(core::reason::unknown_class), 2);
}

Test(paths, operator_paths_are_answered)
{
    front_fixture fixture(answer_with_path);
    cr_assert_eq(get(fixture, "/healthz")->status, 200);
    cr_assert_eq(get(fixture, "/readyz")->status, 200);
    cr_assert_eq(get(fixture, "/metrics")->body, "requests_total 3\n");
    cr_assert_eq(get(fixture, "/v1/status")->body, R"({"instance":"fake"})");
    cr_assert_eq(get(fixture, "/v1/explain/7")->body, R"({"id":7})");
    cr_assert_eq(get(fixture, "/v1/explain/8")->status, 404);
    const json models = json::parse(get(fixture, "/v1/models")->body);
    cr_assert_eq(models.at("data").at(0).at("id"), "small");
}

Test(paths, entry_returns_endpoints_with_a_lifetime)
{
    front_fixture fixture(answer_with_path);
    const json entry =
        json::parse(get(fixture, "/v1/entry?workspace=riga")->body);
    cr_assert_eq(entry.at("endpoints").at(0).at("address"), "127.0.0.1");
    cr_assert_eq(entry.at("endpoints").at(0).at("port"), 8080);
    cr_assert_eq(entry.at("lifetime_ms"), 30000);
    cr_assert_eq(get(fixture, "/v1/entry")->status, 400);
}

Test(paths, unknown_path_is_404_with_a_json_error)
{
    front_fixture fixture(answer_with_path);
    const auto result = get(fixture, "/nothing");
    cr_assert_eq(result->status, 404);
    cr_assert(json::parse(result->body).contains("error"));
}

Test(paths, server_can_be_stopped_right_after_its_start)
{
    const front_fixture first(answer_with_path);
    const front_fixture second(answer_with_path);
    cr_assert_neq(first.port(), second.port());
}

Test(paths, percent_encoded_control_characters_are_refused)
{
    // The HTTP library percent-decodes header values. A key with a line end in
    // it would not be sent to the service, which could then run twice.
    front_fixture fixture(answer_with_path);
    const std::string path = "/v1/services/payments";
    const httplib::Headers key{{"Idempotency-Key", "k1"}};
    cr_assert_eq(post(fixture, path, key)->status, 201);
    const auto status_with = [&](const char* name, const char* value) {
        httplib::Headers headers{{name, value}};
        headers.emplace("Idempotency-Key", "k1");
        return post(fixture, path, headers)->status;
    };
    cr_assert_eq(
        post(fixture, path, {{"Idempotency-Key", "k%0d%0aX: y"}})->status, 400);
    cr_assert_eq(status_with("X-Service-Class", "a%01"), 400);
    cr_assert_eq(post(fixture, path + "/a%01b", key)->status, 400);
    // No route matches a path with a line end.
    cr_assert_eq(post(fixture, path + "/a%0d%0ab", key)->status, 404);
    httplib::Client client("127.0.0.1", fixture.port());
    const auto result =
        client.Post(path, {{"X-Workspace", "a%0ab"}, {"Idempotency-Key", "k"}},
                    "{}", "application/json");
    cr_assert_eq(result->status, 400);
    cr_assert_eq(fixture.refusal_count(core::reason::invalid_request), 5);
}

#include "tests/front/fake_instance.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;
using tests::fake_instance;

namespace {

std::optional<core::reason> answer_body(const front::submission& submission)
{
    submission.answers->push(
        core::answer_body{201, "application/json",
                          json{{"path", submission.payload->path}}.dump()});
    tests::end_answer(submission.answers, core::ran{});
    return std::nullopt;
}

httplib::Result post(const fake_instance& instance, const std::string& path,
                     httplib::Headers headers)
{
    headers.emplace("X-Workspace", "astana");
    httplib::Client client("127.0.0.1", instance.port());
    return client.Post(path, headers, "{}", "application/json");
}

httplib::Result get(const fake_instance& instance, const std::string& path)
{
    httplib::Client client("127.0.0.1", instance.port());
    return client.Get(path);
}

} // namespace

Test(paths, plain_service_is_called_and_its_answer_passed_on)
{
    fake_instance instance(answer_body);
    const auto plain = post(instance, "/v1/services/entries", {});
    cr_assert_eq(plain->status, 201);
    cr_assert_eq(json::parse(plain->body).at("path"), "/entries");
    const auto deep = post(instance, "/v1/services/entries/relay/3", {});
    cr_assert_eq(json::parse(deep->body).at("path"), "/relay/3");
}

Test(paths, a_class_that_must_run_once_needs_a_key)
{
    fake_instance instance(answer_body);
    const auto without = post(instance, "/v1/services/payments", {});
    cr_assert_eq(without->status, 400);
    const auto with =
        post(instance, "/v1/services/payments", {{"Idempotency-Key", "k1"}});
    cr_assert_eq(with->status, 201);
}

Test(paths, a_class_of_the_other_kind_is_unknown)
{
    fake_instance instance(answer_body);
    cr_assert_eq(post(instance, "/v1/services/rules", {})->status, 404);
    cr_assert_eq(post(instance, "/v1/services/none", {})->status, 404);
    cr_assert_eq(instance.refusals(core::reason::unknown_class), 2);
}

Test(paths, operators_paths_answer)
{
    fake_instance instance(answer_body);
    cr_assert_eq(get(instance, "/healthz")->status, 200);
    cr_assert_eq(get(instance, "/readyz")->status, 200);
    cr_assert_eq(get(instance, "/metrics")->body, "requests_total 3\n");
    cr_assert_eq(get(instance, "/v1/status")->body, R"({"instance":"fake"})");
    cr_assert_eq(get(instance, "/v1/explain/7")->body, R"({"id":7})");
    cr_assert_eq(get(instance, "/v1/explain/8")->status, 404);
    const json models = json::parse(get(instance, "/v1/models")->body);
    cr_assert_eq(models.at("data").at(0).at("id"), "small");
}

Test(paths, entry_names_addresses_with_a_lifetime)
{
    fake_instance instance(answer_body);
    const json entry =
        json::parse(get(instance, "/v1/entry?workspace=riga")->body);
    cr_assert_eq(entry.at("endpoints").at(0).at("address"), "127.0.0.1");
    cr_assert_eq(entry.at("endpoints").at(0).at("port"), 8080);
    cr_assert_eq(entry.at("lifetime_ms"), 30000);
    cr_assert_eq(get(instance, "/v1/entry")->status, 400);
}

Test(paths, unknown_path_is_404_with_a_json_error)
{
    fake_instance instance(answer_body);
    const auto result = get(instance, "/nothing");
    cr_assert_eq(result->status, 404);
    cr_assert(json::parse(result->body).contains("error"));
}

Test(paths, a_server_may_be_stopped_as_soon_as_it_has_started)
{
    const fake_instance first(answer_body);
    const fake_instance second(answer_body);
    cr_assert_neq(first.port(), second.port());
}

Test(paths, encoded_control_characters_are_not_sent_on)
{
    // The library decodes header values; a key with a line end in it would
    // be left out on the way to a service that must run once.
    fake_instance instance(answer_body);
    const std::string path = "/v1/services/payments";
    const httplib::Headers key{{"Idempotency-Key", "k1"}};
    cr_assert_eq(post(instance, path, key)->status, 201);
    const auto status_with = [&](const char* name, const char* value) {
        httplib::Headers headers{{name, value}};
        headers.emplace("Idempotency-Key", "k1");
        return post(instance, path, headers)->status;
    };
    cr_assert_eq(
        post(instance, path, {{"Idempotency-Key", "k%0d%0aX: y"}})->status,
        400);
    cr_assert_eq(status_with("X-Service-Class", "a%01"), 400);
    cr_assert_eq(post(instance, path + "/a%01b", key)->status, 400);
    // No route takes a path with a line end.
    cr_assert_eq(post(instance, path + "/a%0d%0ab", key)->status, 404);
    httplib::Client client("127.0.0.1", instance.port());
    const auto result =
        client.Post(path, {{"X-Workspace", "a%0ab"}, {"Idempotency-Key", "k"}},
                    "{}", "application/json");
    cr_assert_eq(result->status, 400);
    cr_assert_eq(instance.refusals(core::reason::invalid_request), 5);
}

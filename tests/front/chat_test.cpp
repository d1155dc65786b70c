#include "tests/front/front_fixture.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;
using tests::front_fixture;

namespace {

const httplib::Headers caller_headers{{"X-Workspace", "almaty"},
                                      {"X-Service-Class", "rules"}};

httplib::Result post_chat(const front_fixture& fixture, const std::string& body,
                          const httplib::Headers& headers = caller_headers)
{
    httplib::Client client("127.0.0.1", fixture.port());
    return client.Post("/v1/chat/completions", headers, body,
                       "application/json");
}

std::optional<core::reason> answer_hello(const front::submission& submission)
{
    tests::push_complete_answer(submission.answers, {"hello ", "world"});
    return std::nullopt;
}

json error_of(const httplib::Result& result)
{
    return json::parse(result->body).at("error");
}

} // namespace

Test(chat, stream_has_chunks_and_ends_with_done)
{
    front_fixture fixture(answer_hello);
    const auto result = post_chat(fixture, tests::chat_body("hi", true));
    cr_assert(result);
    cr_assert_eq(result->status, 200);
    cr_assert_eq(result->get_header_value("X-Request-Id"), "1");
    const std::string& body = result->body;
    cr_assert(body.find(R"("content":"hello ")") != std::string::npos);
    cr_assert(body.find(R"("content":"world")") != std::string::npos);
    cr_assert(body.find(R"("finish_reason":"stop")") != std::string::npos);
    cr_assert(body.ends_with("data: [DONE]\n\n"));
}

Test(chat, request_without_stream_gets_one_json_object)
{
    front_fixture fixture(answer_hello);
    const auto result = post_chat(fixture, tests::chat_body("hi", false));
    cr_assert(result);
    cr_assert_eq(result->status, 200);
    const json answer = json::parse(result->body);
    cr_assert_eq(answer.at("object"), "chat.completion");
    const json& choice = answer.at("choices").at(0);
    cr_assert_eq(choice.at("message").at("content"), "hello world");
    cr_assert_eq(choice.at("finish_reason"), "stop");
    cr_assert_eq(answer.at("usage").at("completion_tokens"), 2);
}

Test(chat, submitted_request_has_the_decoded_fields)
{
    front::submission submitted;
    front_fixture fixture([&](const front::submission& submission) {
        submitted = submission;
        return answer_hello(submission);
    });
    const std::string body =
        R"({"model":"small","max_tokens":9,"user":"x",)"
        R"("messages":[{"role":"user","content":"12345678901"}]})";
    cr_assert_eq(post_chat(fixture, body)->status, 200);
    cr_assert_eq(submitted.request.workspace.value(), "almaty");
    cr_assert_eq(submitted.request.service_class.value(), "rules");
    cr_assert_eq(submitted.request.model.value(), "small");
    cr_assert_eq(submitted.request.max_tokens, 9);
    cr_assert_eq(submitted.request.body_bytes, body.size());
    cr_assert_eq(submitted.request.prompt_tokens, 5); // "user\n12345678901\n"
    cr_assert_neq(submitted.request.prefix_hash, 0);
    json expected = json::parse(body);
    expected["stream"] = true;
    cr_assert_eq(json::parse(submitted.payload->body), expected);
}

Test(chat, malformed_json_is_400)
{
    front_fixture fixture(answer_hello);
    const auto result = post_chat(fixture, R"({"model":)");
    cr_assert_eq(result->status, 400);
    cr_assert_eq(error_of(result).at("verdict"), "not_run");
    cr_assert_eq(error_of(result).at("reason"), "invalid_request");
    cr_assert_eq(fixture.refusal_count(core::reason::invalid_request), 1);
    const auto after = post_chat(fixture, tests::chat_body("hi", false));
    cr_assert_eq(after->status, 200);
}

Test(chat, deeply_nested_json_is_400)
{
    front_fixture fixture(answer_hello);
    const std::string body =
        "{\"a\":" + std::string(200000, '[') + std::string(200000, ']') + "}";
    cr_assert_eq(post_chat(fixture, body)->status, 400);
}

Test(chat, unknown_class_and_model_are_404)
{
    front_fixture fixture(answer_hello);
    const auto no_class =
        post_chat(fixture, tests::chat_body("hi", false),
                  {{"X-Workspace", "almaty"}, {"X-Service-Class", "gold"}});
    cr_assert_eq(no_class->status, 404);
    cr_assert_eq(error_of(no_class).at("reason"), "unknown_class");
    const auto no_model =
        post_chat(fixture, R"({"model":"huge","messages":[{"role":"user"}]})");
    cr_assert_eq(no_model->status, 404);
    cr_assert_eq(error_of(no_model).at("reason"), "unknown_model");
    cr_assert_eq(fixture.refusal_count(core::reason::unknown_model), 1);
}

Test(chat, missing_workspace_is_401)
{
    front_fixture fixture(answer_hello);
    const auto result = post_chat(fixture, tests::chat_body("hi", false),
                                  {{"X-Service-Class", "rules"}});
    cr_assert_eq(result->status, 401);
    cr_assert_eq(error_of(result).at("reason"), "unauthorized");
}

Test(chat, refusal_by_the_decision_logic_has_retry_after)
{
    front_fixture fixture([](const front::submission& submission) {
        tests::push_answer_end(submission.answers,
                               core::not_run{core::reason::queue_full},
                               absl::Milliseconds(2500));
        return std::nullopt;
    });
    for (const bool stream : {false, true}) {
        const auto result = post_chat(fixture, tests::chat_body("hi", stream));
        cr_assert_eq(result->status, 429);
        cr_assert_eq(result->get_header_value("Retry-After"), "3");
        cr_assert_eq(error_of(result).at("verdict"), "not_run");
        cr_assert_eq(error_of(result).at("reason"), "queue_full");
    }
}

Test(chat, full_ring_is_503)
{
    front_fixture fixture(
        [](const front::submission&) { return core::reason::ring_full; });
    const auto result = post_chat(fixture, tests::chat_body("hi", true));
    cr_assert_eq(result->status, 503);
    cr_assert(result->has_header("Retry-After"));
    cr_assert_eq(fixture.refusal_count(core::reason::ring_full), 1);
}

Test(chat, broken_stream_does_not_look_complete)
{
    front_fixture fixture([](const front::submission& submission) {
        submission.answers->push(core::answer_token{0, "half ", {}});
        tests::push_answer_end(
            submission.answers,
            core::may_have_run{core::reason::connection_lost});
        return std::nullopt;
    });
    const auto streamed = post_chat(fixture, tests::chat_body("hi", true));
    cr_assert_eq(streamed->status, 200);
    cr_assert(streamed->body.find("event: error") != std::string::npos);
    cr_assert(streamed->body.find(R"("verdict":"may_have_run")") !=
              std::string::npos);
    cr_assert(streamed->body.find("[DONE]") == std::string::npos);
    cr_assert(streamed->body.find("\"stop\"") == std::string::npos);
    const auto whole = post_chat(fixture, tests::chat_body("hi", false));
    cr_assert_eq(whole->status, 502);
    cr_assert_eq(error_of(whole).at("verdict"), "may_have_run");
}

Test(chat, missing_token_breaks_the_stream)
{
    front_fixture fixture([](const front::submission& submission) {
        submission.answers->push(core::answer_token{0, "a", {}});
        submission.answers->push(core::answer_token{0, "a", {}});
        submission.answers->push(core::answer_token{2, "c", {}});
        tests::push_answer_end(submission.answers, core::ran{3});
        return std::nullopt;
    });
    const auto result = post_chat(fixture, tests::chat_body("hi", true));
    cr_assert(result->body.find("event: error") != std::string::npos);
    cr_assert(result->body.find("[DONE]") == std::string::npos);
}

Test(chat, disconnect_is_reported_while_no_token_arrives)
{
    core::answer_ring_ptr answers;
    front_fixture fixture([&](const front::submission& submission) {
        submission.answers->push(core::answer_token{0, "half ", {}});
        answers = submission.answers;
        return std::nullopt;
    });
    httplib::Client client("127.0.0.1", fixture.port());
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = caller_headers;
    request.body = tests::chat_body("hi", true);
    request.content_receiver = [](const char*, std::size_t, std::uint64_t,
                                  std::uint64_t) { return false; };
    cr_assert(!client.send(request));
    cr_assert_eq(fixture.wait_for_caller_gone().value(), 1);
}

#include "tests/front/front_fixture.hpp"
#include "tests/front/raw_caller.hpp"

#include <chrono>
#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;
using tests::front_fixture;
using tests::raw_caller;

namespace {

constexpr std::size_t ten_megabytes = 10UL * 1000 * 1000;

std::optional<core::reason> answer_hello(const front::submission& submission)
{
    tests::push_complete_answer(submission.answers, {"hello"});
    return std::nullopt;
}

httplib::Result post_chat(const front_fixture& fixture, const std::string& body,
                          const httplib::Headers& extra_headers = {})
{
    httplib::Headers headers = extra_headers;
    headers.emplace("X-Workspace", "almaty");
    headers.emplace("X-Service-Class", "rules");
    httplib::Client client("127.0.0.1", fixture.port());
    return client.Post("/v1/chat/completions", headers, body,
                       "application/json");
}

int get_status(const front_fixture& fixture, const std::string& path)
{
    httplib::Client client("127.0.0.1", fixture.port());
    const auto result = client.Get(path);
    return result ? result->status : 0;
}

void expect_alive(const front_fixture& fixture)
{
    const auto result = post_chat(fixture, tests::chat_body("hi", true));
    cr_assert(result);
    cr_assert_eq(result->status, 200);
    cr_assert(result->body.ends_with("data: [DONE]\n\n"));
}

bool is_client_error(const std::string& response)
{
    return response.starts_with("HTTP/1.1 4");
}

} // namespace

Test(limits, ten_megabyte_header_is_4xx_with_a_json_error)
{
    front_fixture fixture(answer_hello);
    const auto result = post_chat(fixture, tests::chat_body("hi", true),
                                  {{"X-Big", std::string(ten_megabytes, 'x')}});
    cr_assert(result);
    cr_assert_geq(result->status, 400);
    cr_assert_lt(result->status, 500);
    cr_assert(json::parse(result->body).contains("error"));
    cr_assert_eq(fixture.refusal_count(core::reason::invalid_request), 1);
    expect_alive(fixture);
}

Test(limits, ten_megabytes_of_many_headers_are_4xx)
{
    front_fixture fixture(answer_hello);
    raw_caller caller(fixture.port());
    caller.send("GET /healthz HTTP/1.1\r\n");
    std::string headers;
    while (headers.size() < ten_megabytes)
        headers += "X-Small: 0123456789\r\n";
    caller.send(headers);
    cr_assert(is_client_error(caller.read_all()));
    expect_alive(fixture);
}

Test(limits, ten_megabyte_path_is_4xx)
{
    front_fixture fixture(answer_hello);
    raw_caller caller(fixture.port());
    caller.send("GET /" + std::string(ten_megabytes, 'x'));
    cr_assert(is_client_error(caller.read_all()));
    expect_alive(fixture);
}

Test(limits, text_with_deep_parser_recursion_does_not_crash)
{
    front_fixture fixture(answer_hello);
    httplib::Client poster("127.0.0.1", fixture.port());
    for (const std::size_t length : {240UL, 8000UL}) {
        const std::string path =
            "/v1/services/none/" + std::string(length - 18, 'x');
        cr_assert_eq(poster.Post(path)->status, length == 240 ? 401 : 404);
    }
    std::string ranges = "bytes=1-1";
    while (ranges.size() < 8000)
        ranges += ",1-1";
    raw_caller caller(fixture.port());
    caller.send("GET /healthz HTTP/1.1\r\nConnection: close\r\nRange: " +
                ranges + "\r\n\r\n");
    cr_assert(caller.read_all().starts_with("HTTP/1.1 "));
    const std::string disposition =
        "--b\r\nContent-Disposition: form-data; " + std::string(500000, 'x');
    httplib::Client client("127.0.0.1", fixture.port());
    const auto result = client.Post("/v1/chat/completions", disposition,
                                    "multipart/form-data; boundary=b");
    cr_assert_eq(result->status, 400);
    expect_alive(fixture);
}

Test(limits, too_large_body_is_413)
{
    front_fixture fixture(answer_hello);
    const auto result = post_chat(
        fixture, tests::chat_body(std::string(2UL << 20, 'x'), false));
    cr_assert(result);
    cr_assert_eq(result->status, 413);
    cr_assert(json::parse(result->body).contains("error"));
    expect_alive(fixture);
}

Test(limits, too_large_chunked_body_is_4xx)
{
    front_fixture fixture(answer_hello);
    raw_caller caller(fixture.port());
    caller.send("POST /v1/chat/completions HTTP/1.1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    for (int i = 0; i < 100; ++i)
        caller.send(chunk);
    cr_assert(is_client_error(caller.read_all()));
    expect_alive(fixture);
}

Test(limits, chunked_body_just_above_the_limit_is_413)
{
    front::front_settings settings;
    settings.max_body_bytes = 1000;
    front_fixture fixture(answer_hello, settings);
    raw_caller caller(fixture.port());
    caller.send("POST /v1/chat/completions HTTP/1.1\r\n"
                "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3e9\r\n" +
                std::string(1001, ' ') + "\r\n0\r\n\r\n");
    const std::string answer = caller.read_all();
    cr_assert(answer.starts_with("HTTP/1.1 413 "), "%s", answer.c_str());
}

Test(limits, compressed_body_is_not_inflated)
{
    front_fixture fixture(answer_hello);
    const auto result = post_chat(fixture, std::string(1000, '\0'),
                                  {{"Content-Encoding", "gzip"}});
    cr_assert_eq(result->status, 400);
}

Test(limits, post_without_length_does_not_wait_for_a_body)
{
    front_fixture fixture(answer_hello);
    raw_caller caller(fixture.port());
    caller.send("POST /v1/chat/completions HTTP/1.1\r\n"
                "Connection: close\r\n\r\n");
    cr_assert(is_client_error(caller.read_all()));
}

Test(limits, incomplete_request_ends_at_the_request_timeout)
{
    front::front_settings settings;
    settings.request_timeout = absl::Milliseconds(50);
    front_fixture fixture(answer_hello, settings);
    raw_caller caller(fixture.port());
    caller.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Le");
    cr_assert(is_client_error(caller.read_all()));
    expect_alive(fixture);
}

Test(limits, idle_connection_is_closed)
{
    front::front_settings settings;
    settings.idle_timeout = absl::Milliseconds(20);
    front_fixture fixture(answer_hello, settings);
    raw_caller caller(fixture.port());
    cr_assert(caller.read_all().empty());
}

Test(limits, one_connection_serves_several_requests)
{
    front_fixture fixture(answer_hello);
    raw_caller caller(fixture.port());
    const std::string request = "GET /healthz HTTP/1.1\r\n\r\n";
    caller.send(request + request +
                "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answers = caller.read_all();
    std::size_t count = 0;
    for (std::size_t at = answers.find("200 OK"); at != std::string::npos;
         at = answers.find("200 OK", at + 1))
        ++count;
    cr_assert_eq(count, 3);
}

Test(limits, only_operator_paths_answer_above_the_connection_limit)
{
    core::bounded_ring<front::submission> submissions(4);
    front::front_settings settings;
    settings.max_connections = 2;
    settings.reserved_connections = 2;
    front_fixture fixture(
        [&submissions](
            front::submission submission) -> std::optional<core::reason> {
            submissions.push(std::move(submission));
            return std::nullopt;
        },
        settings);
    const std::string bytes =
        tests::chat_request_bytes(tests::chat_body("hi", true));
    raw_caller first(fixture.port());
    first.send(bytes);
    raw_caller second(fixture.port());
    second.send(bytes);
    const auto first_submission = submissions.pop();
    const auto second_submission = submissions.pop();

    const auto refused = post_chat(fixture, tests::chat_body("hi", true));
    cr_assert(refused);
    cr_assert_eq(refused->status, 503);
    cr_assert(refused->has_header("Retry-After"));
    const json error = json::parse(refused->body).at("error");
    cr_assert_eq(error.at("reason"), "connection_limit");
    cr_assert_eq(error.at("verdict"), "not_run");
    cr_assert_geq(fixture.refusal_count(core::reason::connection_limit), 1);
    cr_assert_eq(get_status(fixture, "/healthz"), 200);
    cr_assert_eq(get_status(fixture, "/metrics"), 200);
    cr_assert_eq(get_status(fixture, "/v1/models"), 503);

    tests::push_complete_answer(first_submission->answers, {"a"});
    tests::push_complete_answer(second_submission->answers, {"b"});
    cr_assert(first.read_until("[DONE]").find("[DONE]") != std::string::npos);
}

Test(limits, connections_without_a_free_worker_are_refused)
{
    core::bounded_ring<front::submission> submissions(4);
    front::front_settings settings;
    settings.max_connections = 1;
    settings.reserved_connections = 0;
    front_fixture fixture(
        [&submissions](
            front::submission submission) -> std::optional<core::reason> {
            submissions.push(std::move(submission));
            return std::nullopt;
        },
        settings);
    raw_caller first(fixture.port());
    first.send(tests::chat_request_bytes(tests::chat_body("hi", true)));
    const auto first_submission = submissions.pop();
    raw_caller second(fixture.port());
    const std::string answer = second.read_all();
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert(answer.find("connection_limit") != std::string::npos);
    cr_assert_eq(fixture.refusal_count(core::reason::connection_limit), 1);
    tests::push_complete_answer(first_submission->answers, {"a"});
}

Test(limits, workers_are_reused_after_callers_disconnect)
{
    front::front_settings settings;
    settings.max_connections = 1;
    settings.reserved_connections = 0;
    front_fixture fixture(answer_hello, settings);
    int status = 0;
    for (int served = 0; served < 5;) {
        status = get_status(fixture, "/healthz");
        served += status == 200 ? 1 : 0;
        // The only worker may still be closing the previous connection.
        if (status != 200)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

#include "tests/front/front_fixture.hpp"
#include "tests/front/raw_caller.hpp"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;
using tests::front_fixture;
using tests::raw_caller;

namespace {

constexpr std::size_t caller_count = 200;
constexpr std::uint64_t token_count = 20;

using submission_ring = core::bounded_ring<front::submission>;

tests::submit_hook push_to(submission_ring& submissions)
{
    return [&submissions](
               front::submission submission) -> std::optional<core::reason> {
        submissions.push(std::move(submission));
        return std::nullopt;
    };
}

std::string extract_prompt(const front::submission& submission)
{
    return json::parse(submission.payload->body)
        .at("messages")
        .at(0)
        .at("content");
}

std::string expected_text(const std::string& prompt)
{
    std::string text;
    for (std::uint64_t index = 0; index < token_count; ++index)
        text += prompt + "-" + std::to_string(index) + " ";
    return text;
}

/// Pushes one token to each caller, then the next to each, as an engine that
/// batches requests does.
void answer_interleaved(const std::vector<front::submission>& open_submissions)
{
    for (std::uint64_t index = 0; index < token_count; ++index) {
        for (const auto& each : open_submissions)
            each.answers->push(core::answer_token{
                index,
                extract_prompt(each) + "-" + std::to_string(index) + " ",
                {}});
    }
    for (const auto& each : open_submissions)
        tests::push_answer_end(each.answers, core::ran{token_count});
}

/// Returns the concatenated text of all chunks of a streamed answer.
std::string concatenate_text(const std::string& events)
{
    std::string text;
    constexpr std::string_view prefix = "data: {";
    for (std::size_t at = events.find(prefix); at != std::string::npos;
         at = events.find(prefix, at + 1)) {
        const std::size_t begin = at + prefix.size() - 1;
        const auto chunk =
            json::parse(events.substr(begin, events.find('\n', at) - begin));
        text += chunk.at("choices").at(0).at("delta").value("content", "");
    }
    return text;
}

std::string post_prompt(const front_fixture& fixture, const std::string& prompt)
{
    httplib::Client client("127.0.0.1", fixture.port());
    client.set_read_timeout(std::chrono::minutes(5));
    const auto result =
        client.Post("/v1/chat/completions",
                    {{"X-Workspace", "almaty"}, {"X-Service-Class", "rules"}},
                    tests::chat_body(prompt, true), "application/json");
    return result ? concatenate_text(result->body) : "";
}

} // namespace

Test(streams, two_hundred_concurrent_streams_are_not_mixed_up)
{
    submission_ring submissions(caller_count);
    front_fixture fixture(push_to(submissions));
    std::vector<std::string> answers(caller_count);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < caller_count; ++i)
        callers.emplace_back([&, i] {
            answers[i] = post_prompt(fixture, "caller" + std::to_string(i));
        });
    std::vector<front::submission> open_submissions;
    while (open_submissions.size() < caller_count)
        open_submissions.push_back(*submissions.pop());
    answer_interleaved(open_submissions);
    std::ranges::for_each(callers, [](std::thread& each) { each.join(); });
    for (std::size_t i = 0; i < caller_count; ++i)
        cr_assert_eq(answers[i], expected_text("caller" + std::to_string(i)));
}

Test(streams, disconnect_before_the_first_token_is_reported)
{
    for (const bool stream : {false, true}) {
        submission_ring submissions(1);
        front_fixture fixture(push_to(submissions));
        raw_caller caller(fixture.port());
        caller.send(tests::chat_request_bytes(tests::chat_body("hi", stream)));
        const auto submission = submissions.pop();
        caller.close();
        cr_assert_eq(fixture.wait_for_caller_gone(), submission->request.id);
        // The ring is closed now, so further tokens for it are rejected.
        std::uint64_t index = 0;
        while (submission->answers->push(core::answer_token{index, "a", {}}))
            ++index;
        cr_assert(submission->answers->closed());
    }
}

Test(streams, disconnect_during_a_plain_service_call_is_reported)
{
    submission_ring submissions(1);
    front_fixture fixture(push_to(submissions));
    raw_caller caller(fixture.port());
    caller.send("POST /v1/services/entries HTTP/1.1\r\nX-Workspace: a\r\n"
                "Content-Length: 2\r\n\r\n{}");
    const auto submission = submissions.pop();
    caller.close();
    cr_assert_eq(fixture.wait_for_caller_gone(), submission->request.id);
}

Test(streams, stop_waits_for_an_open_stream_to_complete)
{
    submission_ring submissions(1);
    front_fixture fixture(push_to(submissions));
    raw_caller caller(fixture.port());
    caller.send(tests::chat_request_bytes(tests::chat_body("hi", true)));
    const auto submission = submissions.pop();
    submission->answers->push(core::answer_token{0, "first ", {}});
    cr_assert(caller.read_until("first ").find("first ") != std::string::npos);
    std::thread stop_thread([&fixture] { fixture.stop(); });
    submission->answers->push(core::answer_token{1, "second ", {}});
    tests::push_answer_end(submission->answers, core::ran{2});
    const std::string answer = caller.read_all();
    stop_thread.join();
    cr_assert(answer.find("second ") != std::string::npos);
    cr_assert(answer.find("data: [DONE]") != std::string::npos);
}

Test(streams, stop_does_not_wait_for_idle_connections)
{
    submission_ring submissions(1);
    front::front_settings settings;
    settings.idle_timeout = absl::InfiniteDuration();
    front_fixture fixture(push_to(submissions), settings);
    raw_caller caller(fixture.port());
    caller.send("GET /healthz HTTP/1.1\r\n\r\n");
    cr_assert(caller.read_until("ok\n").ends_with("ok\n"));
    fixture.stop();
    cr_assert(caller.read_all().ends_with("ok\n"));
}

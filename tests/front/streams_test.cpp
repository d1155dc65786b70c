#include "tests/front/fake_instance.hpp"
#include "tests/front/raw_caller.hpp"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;
using tests::fake_instance;
using tests::raw_caller;

namespace {

constexpr std::size_t caller_count = 200;
constexpr std::uint64_t token_count = 20;

using submission_ring = core::bounded_ring<front::submission>;

tests::submit_hook push_to(submission_ring& taken)
{
    return
        [&taken](front::submission submission) -> std::optional<core::reason> {
            taken.push(std::move(submission));
            return std::nullopt;
        };
}

std::string prompt_of(const front::submission& submission)
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

/// Sends one token to each caller, then the next to each, as a batch would.
void answer_in_turns(const std::vector<front::submission>& all)
{
    for (std::uint64_t index = 0; index < token_count; ++index) {
        for (const auto& each : all)
            each.answers->push(core::answer_token{
                index,
                prompt_of(each) + "-" + std::to_string(index) + " ",
                {}});
    }
    for (const auto& each : all)
        tests::end_answer(each.answers, core::ran{token_count});
}

/// The text in all chunks of a streamed answer.
std::string text_of(const std::string& events)
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

std::string ask(const fake_instance& instance, const std::string& prompt)
{
    httplib::Client client("127.0.0.1", instance.port());
    client.set_read_timeout(std::chrono::minutes(5));
    const auto result =
        client.Post("/v1/chat/completions",
                    {{"X-Workspace", "almaty"}, {"X-Service-Class", "rules"}},
                    tests::chat_body(prompt, true), "application/json");
    return result ? text_of(result->body) : "";
}

} // namespace

Test(streams, two_hundred_at_once_are_not_crossed)
{
    submission_ring taken(caller_count);
    fake_instance instance(push_to(taken));
    std::vector<std::string> answers(caller_count);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < caller_count; ++i)
        callers.emplace_back([&, i] {
            answers[i] = ask(instance, "caller" + std::to_string(i));
        });
    std::vector<front::submission> all;
    while (all.size() < caller_count)
        all.push_back(*taken.pop());
    answer_in_turns(all);
    std::ranges::for_each(callers, [](std::thread& each) { each.join(); });
    for (std::size_t i = 0; i < caller_count; ++i)
        cr_assert_eq(answers[i], expected_text("caller" + std::to_string(i)));
}

Test(streams, caller_that_leaves_before_the_first_token_is_told)
{
    for (const bool stream : {false, true}) {
        submission_ring taken(1);
        fake_instance instance(push_to(taken));
        raw_caller caller(instance.port());
        caller.send(tests::chat_bytes(tests::chat_body("hi", stream)));
        const auto submission = taken.pop();
        caller.close();
        cr_assert_eq(instance.wait_for_caller_gone(), submission->request.id);
        // The ring is closed after that: a lane that goes on is refused.
        std::uint64_t index = 0;
        while (submission->answers->push(core::answer_token{index, "a", {}}))
            ++index;
        cr_assert(submission->answers->closed());
    }
}

Test(streams, caller_that_leaves_a_plain_service_is_told)
{
    submission_ring taken(1);
    fake_instance instance(push_to(taken));
    raw_caller caller(instance.port());
    caller.send("POST /v1/services/entries HTTP/1.1\r\nX-Workspace: a\r\n"
                "Content-Length: 2\r\n\r\n{}");
    const auto submission = taken.pop();
    caller.close();
    cr_assert_eq(instance.wait_for_caller_gone(), submission->request.id);
}

Test(streams, stop_lets_an_open_stream_end_whole)
{
    submission_ring taken(1);
    fake_instance instance(push_to(taken));
    raw_caller caller(instance.port());
    caller.send(tests::chat_bytes(tests::chat_body("hi", true)));
    const auto submission = taken.pop();
    submission->answers->push(core::answer_token{0, "first ", {}});
    cr_assert(caller.read_until("first ").find("first ") != std::string::npos);
    std::thread stopping([&instance] { instance.stop(); });
    submission->answers->push(core::answer_token{1, "second ", {}});
    tests::end_answer(submission->answers, core::ran{2});
    const std::string all = caller.read_all();
    stopping.join();
    cr_assert(all.find("second ") != std::string::npos);
    cr_assert(all.find("data: [DONE]") != std::string::npos);
}

Test(streams, stop_does_not_wait_for_idle_connections)
{
    submission_ring taken(1);
    front::front_settings settings;
    settings.idle_timeout = absl::InfiniteDuration();
    fake_instance instance(push_to(taken), settings);
    raw_caller caller(instance.port());
    caller.send("GET /healthz HTTP/1.1\r\n\r\n");
    cr_assert(caller.read_until("ok\n").ends_with("ok\n"));
    instance.stop();
    cr_assert(caller.read_all().ends_with("ok\n"));
}

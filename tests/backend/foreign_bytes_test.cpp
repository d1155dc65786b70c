#include "oriolefall/backend/call_worker_pool.hpp"

#include "tests/forward/scripted_server.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::scripted_connection;
using tests::scripted_server;

namespace {

const std::string load_fields = "X-Load-Running: 3\r\nX-Load-Queued: 2\r\n"
                                "X-Load-Cache-Used: 0.5\r\n"
                                "X-Load-Age-Ms: 10\r\n";

std::string answer(const std::string& type, const std::string& body,
                   const std::string& fields = {})
{
    return "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream(const std::string& events, const std::string& fields = {})
{
    return answer("text/event-stream", events, fields);
}

std::string token(const std::string& text)
{
    return R"(data: {"choices":[{"index":0,"delta":{"content":")" + text +
           R"("},"finish_reason":null}]})" + "\n\n";
}

std::string token(int index, const std::string& text)
{
    return "id: " + std::to_string(index) + "\n" + token(text);
}

const std::string done = "data: [DONE]\n\n";

/// Answers the request number n of a connection with `answers[n]`.
scripted_server::script answer_in_turn(std::vector<std::string> answers)
{
    return [answers = std::move(answers)](scripted_connection& connection) {
        for (const std::string& each : answers) {
            if (connection.read_request().empty())
                return;
            connection.write(each);
        }
        connection.wait_for_close();
    };
}

/// What came of a call.
struct outcome
{
    std::string text;
    core::verdict verdict;
    std::vector<decision::load_reported> loads;
};

/// Calls one server, with one worker.
class caller
{
public:
    explicit caller(scripted_server::script script)
        : server_(std::move(script)),
          pool_({.worker_count = 1, .max_queued_calls = 1}, hooks())
    {
    }

    outcome call(core::call_kind kind = core::call_kind::generate)
    {
        backend::call_task task;
        task.call.call = core::call_id(1);
        task.call.gap_timeout = absl::Seconds(5);
        task.call.deadline = absl::InfiniteFuture();
        task.server.endpoint = server_.endpoint();
        task.server.kind = kind;
        task.payload = std::make_shared<const core::payload>(
            core::payload{.path = "/v1/chat/completions", .body = "{}"});
        task.answers = std::make_shared<core::answer_ring>(256);
        task.on_ended = [this](const decision::call_ended& end) {
            ends_.try_push(end);
        };
        const core::answer_ring_ptr answers = task.answers;
        cr_assert(pool_.try_start(std::move(task)));
        const auto end = ends_.pop();
        outcome result{{}, end->verdict, std::exchange(loads_, {})};
        while (answers->size() > 0)
            result.text += text_of(*answers->pop());
        return result;
    }

private:
    static std::string text_of(const core::answer_part& part)
    {
        if (const auto* body = std::get_if<core::answer_body>(&part))
            return body->body;
        const auto* token = std::get_if<core::answer_token>(&part);
        return token == nullptr ? "" : token->text;
    }

    backend::call_hooks hooks()
    {
        return {.on_progress = [](const auto&) {},
                .on_load_report =
                    [this](const auto& load) { loads_.push_back(load); }};
    }

    scripted_server server_;
    /// Written by the worker before it tells the end of the call.
    std::vector<decision::load_reported> loads_;
    core::bounded_ring<decision::call_ended> ends_{8};
    backend::call_worker_pool pool_;
};

bool has_failed(const outcome& result)
{
    const core::verdict failed =
        core::may_have_run{core::reason::backend_error};
    return result.verdict == failed;
}

} // namespace

// A second copy of an answer was taken for the answer to the next call.
Test(foreign_bytes, a_connection_with_bytes_of_a_call_before_is_not_used_again)
{
    std::atomic<int> connections = 0;
    std::promise<void> has_ended;
    std::promise<void> has_sent_copy;
    caller caller([&](scripted_connection& connection) {
        const bool is_first = ++connections == 1;
        if (connection.read_request().empty())
            return;
        const std::string answer =
            stream(token(0, is_first ? "a" : "b") + done);
        connection.write(answer);
        if (is_first) {
            has_ended.get_future().wait();
            connection.write(answer);
            has_sent_copy.set_value();
        }
        connection.wait_for_close();
    });
    cr_assert(caller.call().text == "a");
    has_ended.set_value();
    has_sent_copy.get_future().wait();
    const outcome second = caller.call();
    cr_assert(second.text == "b", "%s", second.text.c_str());
    cr_assert(std::holds_alternative<core::ran>(second.verdict));
}

// What stood behind the end of a stream was passed on as part of it.
Test(foreign_bytes, nothing_behind_the_end_of_a_stream_is_part_of_it)
{
    for (const std::string& behind :
         {token(1, "b"), std::string("data: x\n\n"), token("b")}) {
        std::string events = token(0, "a");
        events += done;
        events += behind;
        caller caller(answer_in_turn({stream(events)}));
        const outcome result = caller.call();
        cr_assert(result.text == "a", "%s", result.text.c_str());
        cr_assert(result.verdict == core::verdict(core::ran{1}), "%s",
                  behind.c_str());
    }
}

// A token without an index was taken for the next one, or, behind another, left
// out without a word.
Test(foreign_bytes, a_token_without_an_index_of_its_own_fails_the_call)
{
    for (const std::string& events :
         {token("x") + done, token(0, "a") + token("x") + done}) {
        caller caller(answer_in_turn({stream(events)}));
        const outcome result = caller.call();
        cr_assert(has_failed(result), "%s", events.c_str());
        cr_assert(result.text.find('x') == std::string::npos);
    }
}

// A load that is no number was taken for none, so that the engine seemed idle.
Test(foreign_bytes, a_load_that_is_no_number_is_not_reported)
{
    const std::string events = token(0, "a") + done;
    caller sound(answer_in_turn({stream(events, load_fields)}));
    cr_assert_eq(sound.call().loads.size(), 1);
    for (const char* fields :
         {"X-Load-Running: x\r\n", "X-Load-Running: -1\r\n",
          "X-Load-Running: 3\r\nX-Load-Queued: x\r\n",
          "X-Load-Running: 3\r\nX-Load-Cache-Used: nan\r\n",
          "X-Load-Running: 3\r\nX-Load-Cache-Used: 7\r\n",
          "X-Load-Running: 3\r\nX-Load-Age-Ms: x\r\n"}) {
        caller odd(answer_in_turn({stream(events, fields)}));
        const outcome result = odd.call();
        cr_assert(result.loads.empty(), "%s", fields);
        cr_assert(result.text == "a");
    }
}

// Whatever a service sent with a success was passed on as JSON.
Test(foreign_bytes, a_success_of_a_service_is_json)
{
    const std::string type = "application/json";
    const std::string sound = R"({"id":"1","runs":1})";
    caller good(answer_in_turn({answer(type, sound)}));
    cr_assert(good.call(core::call_kind::service).text == sound);
    for (const std::string& body :
         {std::string("garbage"), sound + answer(type, sound),
          sound.substr(0, 5), std::string()}) {
        caller odd(answer_in_turn({answer(type, body)}));
        const outcome result = odd.call(core::call_kind::service);
        cr_assert(has_failed(result), "%s", body.c_str());
        cr_assert(result.text.empty());
    }
}

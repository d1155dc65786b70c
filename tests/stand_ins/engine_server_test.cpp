#include "stand_ins/answer_text.hpp"
#include "stand_ins/engine_server.hpp"

#include <nlohmann/json.hpp>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall::stand_ins;
using nlohmann::json;

namespace {

constexpr host_settings small_host{0, 8};

engine_settings quick_engine()
{
    engine_settings settings;
    settings.step = absl::Milliseconds(1);
    return settings;
}

std::string body(const std::string& question, int max_tokens, bool stream)
{
    return json{{"model", "assistant"},
                {"messages", {{{"role", "user"}, {"content", question}}}},
                {"max_tokens", max_tokens},
                {"metadata", {{"output_tokens", max_tokens}}},
                {"stream", stream}}
        .dump();
}

/// The content of all events and whether the stream was whole.
struct streamed_answer
{
    std::string text;
    std::string first_id;
    bool whole = false;
};

streamed_answer read_events(const std::string& events)
{
    streamed_answer answer;
    std::istringstream lines(events);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("id: ") && answer.first_id.empty())
            answer.first_id = line.substr(4);
        if (line == "data: [DONE]")
            answer.whole = true;
        else if (line.starts_with("data: "))
            answer.text +=
                json::parse(line.substr(6))["choices"][0]["delta"].value(
                    "content", "");
    }
    return answer;
}

json get_json(httplib::Client& client, const char* path)
{
    return json::parse(client.Get(path)->body);
}

} // namespace

Test(engine_server, any_engine_continues_an_answer)
{
    const engine_server first(quick_engine(), small_host);
    const engine_server second(quick_engine(), small_host);
    httplib::Client one("127.0.0.1", first.port());
    httplib::Client two("127.0.0.1", second.port());
    const auto whole = one.Post("/v1/chat/completions", body("q", 10, true),
                                "application/json");
    const auto rest = two.Post("/v1/chat/completions", {{"Last-Event-ID", "5"}},
                               body("q", 10, true), "application/json");
    const streamed_answer all = read_events(whole->body);
    const streamed_answer tail = read_events(rest->body);
    cr_assert(all.whole);
    cr_assert(tail.whole);
    cr_assert_eq(tail.first_id, "6");
    cr_assert(all.text.ends_with(tail.text));
    const auto plain = two.Post("/v1/chat/completions", body("q", 10, false),
                                "application/json");
    cr_assert_eq(json::parse(plain->body)["choices"][0]["message"]["content"]
                     .get<std::string>(),
                 all.text);
}

Test(engine_server, a_closed_connection_frees_the_slot)
{
    engine_settings settings = quick_engine();
    settings.slots = 1;
    const engine_server engine(settings, small_host);
    httplib::Client leaving("127.0.0.1", engine.port());
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body("q", 1'000'000, true);
    request.content_receiver = [](const char*, std::size_t, std::uint64_t,
                                  std::uint64_t) { return false; };
    cr_assert_not(leaving.send(request));
    leaving.stop();
    // Without the slot this answer would wait for a million tokens.
    httplib::Client staying("127.0.0.1", engine.port());
    staying.set_read_timeout(120);
    const auto answer = staying.Post("/v1/chat/completions", body("r", 2, true),
                                     "application/json");
    cr_assert(answer);
    cr_assert(read_events(answer->body).whole);
    cr_assert_eq(get_json(staying, "/stats")["cancelled"], 1);
}

Test(engine_server, a_crash_ends_the_stream_before_its_end)
{
    const engine_server engine(quick_engine(), small_host);
    httplib::Client client("127.0.0.1", engine.port());
    cr_assert_eq(
        client
            .Post("/faults", R"({"crash_after_tokens":3})", "application/json")
            ->status,
        200);
    const auto broken = client.Post("/v1/chat/completions", httplib::Headers(),
                                    body("q", 10, true), "application/json");
    cr_assert_not(broken);
    const auto next = client.Post("/v1/chat/completions", body("q", 10, true),
                                  "application/json");
    cr_assert(next);
    cr_assert(read_events(next->body).whole);
}

Test(engine_server, refusals_say_that_nothing_ran)
{
    const engine_server engine(quick_engine(), small_host);
    httplib::Client client("127.0.0.1", engine.port());
    const auto malformed =
        client.Post("/v1/chat/completions", "{", "application/json");
    cr_assert_eq(malformed->status, 400);
    client.Post("/faults", R"({"refuse":true})", "application/json");
    const auto refused = client.Post("/v1/chat/completions", body("q", 2, true),
                                     "application/json");
    cr_assert_eq(refused->status, 503);
    cr_assert(refused->has_header("Retry-After"));
    client.Post("/orders", R"({"order":"unload_model","model":"assistant"})",
                "application/json");
    const auto unknown = client.Post("/v1/chat/completions", body("q", 2, true),
                                     "application/json");
    cr_assert_eq(unknown->status, 404);
    cr_assert_eq(get_json(client, "/stats")["started"], 0);
}

Test(engine_server, checks_fencing_numbers_when_told_to)
{
    engine_settings settings = quick_engine();
    const engine_server trusting(settings, small_host);
    settings.checks_fencing = true;
    const engine_server checking(settings, small_host);
    const auto order = [](const engine_server& engine, int fencing_number) {
        httplib::Client client("127.0.0.1", engine.port());
        const json order{{"order", "load_model"},
                         {"model", "b"},
                         {"fencing_number", fencing_number}};
        return client.Post("/orders", order.dump(), "application/json")->status;
    };
    cr_assert_eq(order(checking, 7), 200);
    cr_assert_eq(order(checking, 7), 200);
    cr_assert_eq(order(checking, 6), 409);
    cr_assert_eq(order(trusting, 7), 200);
    cr_assert_eq(order(trusting, 6), 200);
}

#include "oriolefall/front/chat_codec.hpp"
#include "oriolefall/front/error_reply.hpp"
#include "oriolefall/front/json_text.hpp"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using front::chat_request;
using front::parse_chat_request;
using nlohmann::json;

namespace {

const std::string valid_body =
    R"({"model":"small","max_tokens":12,"stream":true,"temperature":0.5,)"
    R"("messages":[{"role":"system","content":"rules"},)"
    R"({"role":"user","content":[{"type":"text","text":"when?"}]}]})";

/// Generates JSON values of any type, nested up to `depth` levels.
rc::Gen<json> any_json(int depth)
{
    auto leaf = rc::gen::oneOf(
        rc::gen::just(json(nullptr)),
        rc::gen::map(rc::gen::arbitrary<bool>(),
                     [](bool value) { return json(value); }),
        rc::gen::map(rc::gen::arbitrary<std::int64_t>(),
                     [](std::int64_t value) { return json(value); }),
        rc::gen::map(rc::gen::string<std::string>(),
                     [](std::string value) { return json(std::move(value)); }),
        rc::gen::element(json("small"), json(1e300), json(-1), json("")));
    if (depth == 0)
        return leaf;
    const auto names =
        rc::gen::element<std::string>("role", "content", "text", "type", "x");
    const auto list =
        rc::gen::container<std::vector<json>>(any_json(depth - 1));
    const auto members =
        rc::gen::container<std::vector<std::pair<std::string, json>>>(
            rc::gen::pair(names, any_json(depth - 1)));
    return rc::gen::oneOf(
        leaf,
        rc::gen::map(list, [](const auto& values) { return json(values); }),
        rc::gen::map(members, [](const auto& values) {
            json object = json::object();
            for (const auto& [key, value] : values)
                object[key] = value;
            return object;
        }));
}

/// Generates a valid body in which some members are replaced by arbitrary
/// values.
rc::Gen<json> any_chat_body()
{
    const auto name = rc::gen::element<std::string>(
        "model", "messages", "max_tokens", "max_completion_tokens", "stream",
        "other");
    const auto changes =
        rc::gen::container<std::vector<std::pair<std::string, json>>>(
            rc::gen::pair(name, any_json(2)));
    return rc::gen::map(changes, [](const auto& values) {
        json body = json::parse(valid_body);
        for (const auto& [key, value] : values)
            body[key] = value;
        return body;
    });
}

/// Checks that the engine's body is the caller's object with `stream` set.
void expect_only_stream_changed(const chat_request& parsed, json body)
{
    body["stream"] = true;
    RC_ASSERT(json::parse(parsed.engine_body) == body);
    RC_ASSERT(parsed.model.value() == body.at("model").get<std::string>());
    RC_ASSERT(parsed.prompt_tokens > 0);
}

} // namespace

Test(codec, valid_body_is_decoded)
{
    const auto parsed = parse_chat_request(valid_body);
    const auto& chat = std::get<chat_request>(parsed);
    cr_assert(chat.stream);
    cr_assert_eq(chat.max_tokens, 12);
    cr_assert_eq(chat.model.value(), "small");
}

Test(codec, prompts_with_equal_prefixes_have_equal_hashes)
{
    const auto hash_of = [](const std::string& head, const std::string& tail) {
        const json message{{"role", "user"}, {"content", head + tail}};
        const json body{{"model", "small"},
                        {"messages", json::array({message})}};
        return std::get<chat_request>(parse_chat_request(body.dump()))
            .prefix_hash;
    };
    const std::string head(2000, 'h');
    cr_assert_eq(hash_of(head, "a"), hash_of(head, "b"));
    cr_assert_neq(hash_of("a", head), hash_of("b", head));
}

Test(codec, arbitrary_bytes_are_refused)
{
    cr_assert(rc::check([](const std::string& bytes) {
        const auto parsed = parse_chat_request(bytes);
        RC_ASSERT(std::holds_alternative<front::codec_error>(parsed));
    }));
}

Test(codec, damaged_body_is_refused_or_decoded)
{
    cr_assert(rc::check([](const std::string& inserted) {
        std::string body = valid_body;
        const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
        const auto cut = *rc::gen::inRange<std::size_t>(0, 8);
        body.replace(at, cut, inserted);
        const auto parsed = parse_chat_request(body);
        if (const auto* chat = std::get_if<chat_request>(&parsed))
            expect_only_stream_changed(*chat, json::parse(body));
    }));
}

Test(codec, arbitrary_json_is_refused_or_decoded)
{
    cr_assert(rc::check([] {
        const std::string text = front::to_text(*any_chat_body());
        const auto parsed = parse_chat_request(text);
        RC_CLASSIFY(std::holds_alternative<chat_request>(parsed), "read");
        if (const auto* chat = std::get_if<chat_request>(&parsed))
            expect_only_stream_changed(*chat, json::parse(text));
    }));
}

Test(codec, nesting_depth_is_limited)
{
    const auto nested = [](int depth) {
        return R"({"a":)" + std::string(static_cast<std::size_t>(depth), '[') +
               std::string(static_cast<std::size_t>(depth), ']') + "}";
    };
    cr_assert(front::parse_json_object(nested(front::max_json_depth - 1)));
    cr_assert_not(front::parse_json_object(nested(front::max_json_depth + 1)));
    cr_assert_not(front::parse_json_object(nested(1000000)));
}

Test(codec, invalid_utf8_is_replaced_when_encoded)
{
    const front::completion_metadata metadata{core::request_id(1),
                                              core::model_name("small"), 0};
    const json chunk =
        json::parse(front::encode_chunk(metadata, "a\xFF", true));
    cr_assert_eq(chunk.at("choices").at(0).at("delta").at("content"),
                 "a\xEF\xBF\xBD");
}

Test(codec, every_reason_has_an_error_reply_with_its_verdict)
{
    for (const core::reason reason : core::all_reasons()) {
        for (const core::verdict verdict :
             {core::verdict(core::not_run{reason}),
              core::verdict(core::may_have_run{reason})}) {
            const auto reply = front::make_error_reply(verdict);
            cr_assert(reply.status >= 400 && reply.status < 600);
            const json error = json::parse(reply.body).at("error");
            cr_assert_eq(error.at("verdict"), core::to_string(verdict));
            cr_assert_eq(error.at("reason"), core::to_string(reason));
            const bool has_retry_after = reply.retry_after_seconds.has_value();
            cr_assert_eq(has_retry_after,
                         reply.status == 429 || reply.status == 503);
        }
    }
}

#include "oriolefall/backend/engine_codec.hpp"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace oriolefall::backend {

namespace {

using nlohmann::json;

/// The string member `key` of `object`, or an empty string without one.
std::string string_member(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

std::optional<std::uint64_t> parse_index(const std::string& id)
{
    std::uint64_t index = 0;
    if (!absl::SimpleAtoi(id, &index))
        return std::nullopt;
    return index;
}

} // namespace

engine_message parse_engine_event(const stream_event& event)
{
    if (event.data == "[DONE]")
        return engine_done{};
    const json body = json::parse(event.data, nullptr, false);
    if (!body.is_object())
        return engine_error{"not a JSON object"};
    const auto choices = body.find("choices");
    if (choices == body.end() || !choices->is_array() || choices->empty())
        return engine_error{string_member(body, "error")};
    const json& choice = choices->front();
    if (!choice.is_object())
        return engine_error{"choice is not an object"};
    engine_token token{.index = parse_index(event.id),
                       .text = {},
                       .finish_reason = string_member(choice, "finish_reason")};
    const auto delta = choice.find("delta");
    if (delta != choice.end() && delta->is_object())
        token.text = string_member(*delta, "content");
    return token;
}

} // namespace oriolefall::backend

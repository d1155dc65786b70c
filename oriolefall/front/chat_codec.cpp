#include "oriolefall/front/chat_codec.hpp"

#include "oriolefall/front/json_text.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <xxhash.h>

namespace oriolefall::front {

namespace {

using nlohmann::json;

/// Average number of bytes of English text in a token, used to estimate the
/// length of a prompt.
constexpr std::size_t bytes_per_token = 4;
/// Number of bytes at the start of a prompt that the prefix hash covers.
constexpr std::size_t prefix_bytes = 1024;

/// Appends the text of one message's content to `out`. False when the content
/// is malformed.
bool append_content(const json& content, std::string& out)
{
    if (content.is_string()) {
        out += content.get_ref<const std::string&>();
        return true;
    }
    if (!content.is_array())
        return false;
    return std::ranges::all_of(content, [&](const json& part) {
        const auto text = part.find("text");
        if (!part.is_object() || text == part.end())
            return part.is_object();
        if (!text->is_string())
            return false;
        out += text->get_ref<const std::string&>();
        return true;
    });
}

/// Appends one message to the prompt. False when the message is malformed.
bool append_message(const json& message, std::string& prompt)
{
    if (!message.is_object())
        return false;
    const auto role = message.find("role");
    const auto content = message.find("content");
    if (role == message.end() || !role->is_string())
        return false;
    prompt += role->get_ref<const std::string&>();
    prompt += '\n';
    const bool is_absent = content == message.end() || content->is_null();
    if (!is_absent && !append_content(*content, prompt))
        return false;
    prompt += '\n';
    return true;
}

std::optional<std::string> extract_prompt(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return std::nullopt;
    std::string prompt;
    const bool is_valid =
        std::ranges::all_of(*messages, [&](const json& message) {
            return append_message(message, prompt);
        });
    return is_valid ? std::optional(std::move(prompt)) : std::nullopt;
}

/// Reads the limit on the answer's tokens under either of its two names.
/// Returns 0 when there is no limit and std::nullopt when it is malformed.
std::optional<std::uint32_t> parse_max_tokens(const json& body)
{
    for (const char* name : {"max_completion_tokens", "max_tokens"}) {
        const auto found = body.find(name);
        if (found == body.end() || found->is_null())
            continue;
        if (!found->is_number_unsigned())
            return std::nullopt;
        const auto value = found->get<std::uint64_t>();
        if (value == 0 || value > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
        return static_cast<std::uint32_t>(value);
    }
    return 0;
}

std::optional<bool> parse_stream(const json& body)
{
    const auto found = body.find("stream");
    if (found == body.end() || found->is_null())
        return false;
    return found->is_boolean() ? std::optional(found->get<bool>())
                               : std::nullopt;
}

std::optional<core::model_name> parse_model(const json& body)
{
    const auto found = body.find("model");
    if (found == body.end() || !found->is_string())
        return std::nullopt;
    const auto& name = found->get_ref<const std::string&>();
    return name.empty() ? std::nullopt : std::optional(core::model_name(name));
}

std::uint32_t estimate_tokens(std::string_view prompt)
{
    const std::size_t tokens =
        (prompt.size() + bytes_per_token - 1) / bytes_per_token;
    return static_cast<std::uint32_t>(std::min<std::size_t>(
        tokens, std::numeric_limits<std::uint32_t>::max()));
}

std::uint64_t hash_prefix(std::string_view prompt)
{
    const std::string_view head = prompt.substr(0, prefix_bytes);
    return XXH3_64bits(head.data(), head.size());
}

json completion_object(const completion_metadata& metadata, const char* object,
                       json choice)
{
    return {{"id", "chatcmpl-" + std::to_string(metadata.id.value())},
            {"object", object},
            {"created", metadata.created},
            {"model", metadata.model.value()},
            {"choices", json::array({std::move(choice)})}};
}

} // namespace

std::variant<chat_request, codec_error>
parse_chat_request(std::string_view body)
{
    std::optional<json> parsed = parse_json_object(body);
    if (!parsed)
        return codec_error{"the body is not a JSON object"};
    const auto model = parse_model(*parsed);
    if (!model)
        return codec_error{"\"model\" must be a string that is not empty"};
    const auto prompt = extract_prompt(*parsed);
    if (!prompt)
        return codec_error{"\"messages\" must be an array of messages with "
                           "\"role\" and \"content\", not empty"};
    const auto max_tokens = parse_max_tokens(*parsed);
    if (!max_tokens)
        return codec_error{"\"max_tokens\" must be a whole number above 0"};
    const auto stream = parse_stream(*parsed);
    if (!stream)
        return codec_error{"\"stream\" must be true or false"};
    (*parsed)["stream"] = true;
    return chat_request{.model = *model,
                        .stream = *stream,
                        .max_tokens = *max_tokens,
                        .prompt_tokens = estimate_tokens(*prompt),
                        .prefix_hash = hash_prefix(*prompt),
                        .engine_body = to_text(*parsed)};
}

std::string encode_chunk(const completion_metadata& metadata,
                         std::string_view text, bool is_first)
{
    json delta{{"content", text}};
    if (is_first)
        delta["role"] = "assistant";
    return to_text(completion_object(
        metadata, "chat.completion.chunk",
        {{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}}));
}

std::string encode_last_chunk(const completion_metadata& metadata,
                              std::string_view finish_reason)
{
    return to_text(completion_object(metadata, "chat.completion.chunk",
                                     {{"index", 0},
                                      {"delta", json::object()},
                                      {"finish_reason", finish_reason}}));
}

std::string encode_completion(const completion_metadata& metadata,
                              std::string_view text,
                              std::string_view finish_reason,
                              const token_usage& usage)
{
    const json message{{"role", "assistant"}, {"content", text}};
    json completion = completion_object(
        metadata, "chat.completion",
        {{"index", 0}, {"message", message}, {"finish_reason", finish_reason}});
    completion["usage"] = {{"prompt_tokens", usage.prompt},
                           {"completion_tokens", usage.completion},
                           {"total_tokens", usage.prompt + usage.completion}};
    return to_text(completion);
}

std::string encode_models(const std::vector<core::model_name>& models)
{
    json data = json::array();
    std::ranges::transform(models, std::back_inserter(data),
                           [](const core::model_name& model) {
                               return json{{"id", model.value()},
                                           {"object", "model"},
                                           {"owned_by", "oriolefall"}};
                           });
    return to_text({{"object", "list"}, {"data", std::move(data)}});
}

} // namespace oriolefall::front

#ifndef ORIOLEFALL_FRONT_CHAT_CODEC_HPP
#define ORIOLEFALL_FRONT_CHAT_CODEC_HPP

#include "oriolefall/front/chat_request.hpp"
#include "oriolefall/front/codec_error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::front {

/// Decodes the body of `POST /v1/chat/completions`. Any bytes may be given.
/// Any thread.
[[nodiscard]] std::variant<chat_request, codec_error>
parse_chat_request(std::string_view body);

/// What every chunk of one answer repeats.
struct chat_heading
{
    core::request_id id;
    core::model_name model;
    /// When the answer began, in seconds since the Unix epoch.
    std::int64_t created = 0;
    auto operator<=>(const chat_heading&) const = default;
};

/// Length of a prompt and its answer, in tokens.
struct token_usage
{
    std::uint64_t prompt = 0;
    std::uint64_t completion = 0;
    auto operator<=>(const token_usage&) const = default;
};

/// One piece of an answer as a `chat.completion.chunk` object.
[[nodiscard]] std::string encode_chunk(const chat_heading& heading,
                                       std::string_view text, bool first);
/// The last chunk, which tells why the engine stopped.
[[nodiscard]] std::string encode_last_chunk(const chat_heading& heading,
                                            std::string_view finish_reason);
/// A whole answer as a `chat.completion` object.
[[nodiscard]] std::string encode_completion(const chat_heading& heading,
                                            std::string_view text,
                                            std::string_view finish_reason,
                                            const token_usage& usage);
/// The body of `GET /v1/models`.
[[nodiscard]] std::string
encode_models(const std::vector<core::model_name>& models);

} // namespace oriolefall::front

#endif

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

/// Decodes the body of `POST /v1/chat/completions`, which may be any bytes.
/// Thread-safe.
[[nodiscard]] std::variant<chat_request, codec_error>
parse_chat_request(std::string_view body);

/// Fields that are the same in every chunk of one answer.
struct completion_metadata
{
    core::request_id id;
    core::model_name model;
    /// Time at which the request was submitted, in seconds since the Unix
    /// epoch.
    std::int64_t created = 0;
    auto operator<=>(const completion_metadata&) const = default;
};

/// Lengths of a prompt and of its answer, in tokens.
struct token_usage
{
    std::uint64_t prompt = 0;
    std::uint64_t completion = 0;
    auto operator<=>(const token_usage&) const = default;
};

/// Encodes a piece of an answer's text as a `chat.completion.chunk` object.
/// The first chunk of an answer also carries the role.
[[nodiscard]] std::string encode_chunk(const completion_metadata& metadata,
                                       std::string_view text, bool is_first);
/// Encodes the last chunk, which carries the reason why the engine stopped.
[[nodiscard]] std::string encode_last_chunk(const completion_metadata& metadata,
                                            std::string_view finish_reason);
/// Encodes a whole answer as a `chat.completion` object.
[[nodiscard]] std::string encode_completion(const completion_metadata& metadata,
                                            std::string_view text,
                                            std::string_view finish_reason,
                                            const token_usage& usage);
/// Encodes the body of `GET /v1/models`.
[[nodiscard]] std::string
encode_models(const std::vector<core::model_name>& models);

} // namespace oriolefall::front

#endif

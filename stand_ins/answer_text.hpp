#ifndef ORIOLEFALL_STAND_INS_ANSWER_TEXT_HPP
#define ORIOLEFALL_STAND_INS_ANSWER_TEXT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolefall::stand_ins {

/// The seed of the answer to a prompt; the same at every engine, so that any
/// of them can continue an answer that another one began. Any thread.
[[nodiscard]] std::uint64_t answer_seed(std::string_view prompt);

/// Text of the token at `index` (from 0): one word and a space. Any thread.
[[nodiscard]] std::string token_text(std::uint64_t seed, std::uint32_t index);

/// Tokens in the answer before any limit, 4 to 515. Any thread.
[[nodiscard]] std::uint32_t natural_length(std::uint64_t seed);

/// The first `tokens` tokens of the answer. Any thread.
[[nodiscard]] std::string answer_text(std::uint64_t seed, std::uint32_t tokens);

} // namespace oriolefall::stand_ins

#endif

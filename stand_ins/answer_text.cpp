#include "stand_ins/answer_text.hpp"

#include <array>
#include <xxhash.h>

namespace oriolefall::stand_ins {

namespace {

constexpr std::array<std::string_view, 16> words{
    "control", "start", "map",   "relay",  "forest", "course",
    "lathe",   "shift", "steel", "record", "entry",  "club",
    "time",    "slot",  "order", "finish"};
constexpr std::uint32_t shortest_answer = 4;
constexpr std::uint32_t length_doublings = 8;

std::uint64_t mix(std::uint64_t seed, std::uint64_t index)
{
    return XXH64(&index, sizeof(index), seed);
}

} // namespace

std::uint64_t answer_seed(std::string_view prompt)
{
    return XXH64(prompt.data(), prompt.size(), 0);
}

std::string token_text(std::uint64_t seed, std::uint32_t index)
{
    const std::uint64_t value = mix(seed, index);
    // The number makes it unlikely that two answers share a token.
    return std::string(words[value % words.size()]) +
           std::to_string(value / words.size() % 1000) + " ";
}

std::uint32_t natural_length(std::uint64_t seed)
{
    const std::uint64_t value = mix(seed, ~std::uint64_t{0});
    const std::uint32_t scale = 2U << (value % length_doublings);
    return shortest_answer +
           static_cast<std::uint32_t>((value >> 32U) % (2 * scale));
}

std::string answer_text(std::uint64_t seed, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index)
        text += token_text(seed, index);
    return text;
}

} // namespace oriolefall::stand_ins

#ifndef ORIOLEFALL_STAND_INS_PREFIX_CACHE_HPP
#define ORIOLEFALL_STAND_INS_PREFIX_CACHE_HPP

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <vector>

namespace oriolefall::stand_ins {

/// Tokens in one block of the prefix cache.
inline constexpr std::uint32_t block_tokens = 16;
/// Bytes of text that count as one token.
inline constexpr std::uint32_t bytes_per_token = 4;

/// Tokens that a prompt of this many bytes has; at least 1.
[[nodiscard]] std::uint32_t prompt_tokens(std::size_t bytes);

/// One hash for each whole block of the prompt; each covers all text up to
/// the end of its block.
[[nodiscard]] std::vector<std::uint64_t> prefix_blocks(std::string_view prompt);

/// Prompt prefixes that an engine keeps, the least recently used dropped
/// first. One thread.
class prefix_cache
{
public:
    /// `capacity`: blocks held at most.
    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

    /// How many leading blocks are held; then holds all of `blocks`.
    std::uint32_t touch(const std::vector<std::uint64_t>& blocks);

    /// Share of the capacity in use, 0 to 1.
    [[nodiscard]] double used() const;

private:
    void insert(std::uint64_t block);

    std::size_t capacity_;
    std::list<std::uint64_t> recent_;
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        places_;
};

} // namespace oriolefall::stand_ins

#endif

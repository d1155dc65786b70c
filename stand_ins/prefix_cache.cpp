#include "stand_ins/prefix_cache.hpp"

#include <algorithm>
#include <xxhash.h>

namespace oriolefall::stand_ins {

std::uint32_t prompt_tokens(std::size_t bytes)
{
    const std::size_t tokens = bytes / bytes_per_token;
    return static_cast<std::uint32_t>(std::max<std::size_t>(tokens, 1));
}

std::vector<std::uint64_t> prefix_blocks(std::string_view prompt)
{
    constexpr std::size_t block_bytes = block_tokens * bytes_per_token;
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + block_bytes <= prompt.size();
         at += block_bytes) {
        hash = XXH64(prompt.data() + at, block_bytes, hash);
        blocks.push_back(hash);
    }
    return blocks;
}

std::uint32_t prefix_cache::touch(const std::vector<std::uint64_t>& blocks)
{
    const auto missing =
        std::ranges::find_if_not(blocks, [this](std::uint64_t block) {
            return places_.contains(block);
        });
    const auto held =
        static_cast<std::uint32_t>(std::distance(blocks.begin(), missing));
    // The first block ends up as the most recent, so that a chain loses its
    // tail first.
    std::for_each(blocks.rbegin(), blocks.rend(),
                  [this](std::uint64_t block) { insert(block); });
    return held;
}

double prefix_cache::used() const
{
    if (capacity_ == 0)
        return 0.0;
    return static_cast<double>(places_.size()) / static_cast<double>(capacity_);
}

void prefix_cache::insert(std::uint64_t block)
{
    if (capacity_ == 0)
        return;
    if (const auto found = places_.find(block); found != places_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    if (places_.size() == capacity_) {
        places_.erase(recent_.back());
        recent_.pop_back();
    }
    recent_.push_front(block);
    places_.emplace(block, recent_.begin());
}

} // namespace oriolefall::stand_ins

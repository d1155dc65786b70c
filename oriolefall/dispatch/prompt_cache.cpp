#include "oriolefall/dispatch/prompt_cache.hpp"

#include <algorithm>
#include <ranges>

namespace oriolefall::dispatch {

prompt_cache::prompt_cache(std::uint64_t capacity) : capacity_(capacity) {}

std::uint32_t
prompt_cache::cached_tokens(std::span<const prompt_part> prompt) const
{
    std::uint32_t cached = 0;
    const auto missing = std::ranges::find_if(
        prompt, [this](const auto& part) { return !index_.contains(part.id); });
    std::for_each(prompt.begin(), missing,
                  [&cached](const auto& part) { cached += part.tokens; });
    return cached;
}

void prompt_cache::record_prefill(std::span<const prompt_part> prompt)
{
    // The first part becomes the most recently used one, as the later parts
    // are of no use without it.
    for (const prompt_part& part : std::views::reverse(prompt)) {
        const auto found = index_.find(part.id);
        if (found != index_.end()) {
            parts_.splice(parts_.begin(), parts_, found->second);
            continue;
        }
        parts_.push_front(part);
        index_.emplace(part.id, parts_.begin());
        cached_tokens_ += part.tokens;
    }
    evict();
}

void prompt_cache::clear()
{
    parts_.clear();
    index_.clear();
    cached_tokens_ = 0;
}

void prompt_cache::set_capacity(std::uint64_t capacity)
{
    capacity_ = capacity;
    evict();
}

void prompt_cache::evict()
{
    while (cached_tokens_ > capacity_ && !parts_.empty()) {
        cached_tokens_ -= parts_.back().tokens;
        index_.erase(parts_.back().id);
        parts_.pop_back();
    }
}

} // namespace oriolefall::dispatch

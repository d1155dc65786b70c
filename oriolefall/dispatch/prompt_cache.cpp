#include "oriolefall/dispatch/prompt_cache.hpp"

#include <algorithm>
#include <ranges>

namespace oriolefall::dispatch {

prompt_cache::prompt_cache(std::uint64_t capacity) : capacity_(capacity) {}

std::uint32_t
prompt_cache::kept_tokens(std::span<const prompt_part> prompt) const
{
    std::uint32_t kept = 0;
    const auto missing = std::ranges::find_if(prompt, [this](const auto& part) {
        return !places_.contains(part.id);
    });
    std::for_each(prompt.begin(), missing,
                  [&kept](const auto& part) { kept += part.tokens; });
    return kept;
}

void prompt_cache::note_read(std::span<const prompt_part> prompt)
{
    // The first part is touched last: without it the others are of no use.
    for (const prompt_part& part : std::views::reverse(prompt)) {
        const auto found = places_.find(part.id);
        if (found != places_.end()) {
            parts_.splice(parts_.begin(), parts_, found->second);
            continue;
        }
        parts_.push_front(part);
        places_.emplace(part.id, parts_.begin());
        held_ += part.tokens;
    }
    shrink();
}

void prompt_cache::clear()
{
    parts_.clear();
    places_.clear();
    held_ = 0;
}

void prompt_cache::set_capacity(std::uint64_t capacity)
{
    capacity_ = capacity;
    shrink();
}

void prompt_cache::shrink()
{
    while (held_ > capacity_ && !parts_.empty()) {
        held_ -= parts_.back().tokens;
        places_.erase(parts_.back().id);
        parts_.pop_back();
    }
}

} // namespace oriolefall::dispatch

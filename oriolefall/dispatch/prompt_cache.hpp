#ifndef ORIOLEFALL_DISPATCH_PROMPT_CACHE_HPP
#define ORIOLEFALL_DISPATCH_PROMPT_CACHE_HPP

#include "oriolefall/dispatch/event.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <span>

namespace oriolefall::dispatch {

/// What one engine probably keeps of the prompts that it read: the parts sent
/// to it, least recently used dropped first. One thread.
class prompt_cache
{
public:
    /// `capacity`: tokens that are taken to stay.
    explicit prompt_cache(std::uint64_t capacity = 0);

    /// Tokens at the start of `prompt` that need not be read again. A part
    /// counts only when all parts before it do.
    [[nodiscard]] std::uint32_t
    kept_tokens(std::span<const prompt_part> prompt) const;
    void note_read(std::span<const prompt_part> prompt);
    void clear();
    void set_capacity(std::uint64_t capacity);

private:
    using order = std::list<prompt_part>;
    void shrink();

    std::uint64_t capacity_;
    std::uint64_t held_ = 0;
    /// Most recently used first.
    order parts_;
    absl::flat_hash_map<std::uint64_t, order::iterator> places_;
};

} // namespace oriolefall::dispatch

#endif

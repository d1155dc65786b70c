#ifndef ORIOLEFALL_DISPATCH_PROMPT_CACHE_HPP
#define ORIOLEFALL_DISPATCH_PROMPT_CACHE_HPP

#include "oriolefall/dispatch/event.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <span>

namespace oriolefall::dispatch {

/// Model of the prompt cache of one engine: the prompt parts sent to it, with
/// LRU eviction. Not thread-safe.
class prompt_cache
{
public:
    /// `capacity` is the number of tokens that the engine is assumed to cache.
    explicit prompt_cache(std::uint64_t capacity = 0);

    /// Length of the cached prefix of `prompt`, in tokens. A part counts only
    /// if all parts before it are cached.
    [[nodiscard]] std::uint32_t
    cached_tokens(std::span<const prompt_part> prompt) const;
    /// Adds the parts of a prompt that is sent to the engine.
    void record_prefill(std::span<const prompt_part> prompt);
    void clear();
    void set_capacity(std::uint64_t capacity);

private:
    using part_list = std::list<prompt_part>;
    /// Evicts the least recently used parts until the capacity is respected.
    void evict();

    std::uint64_t capacity_;
    std::uint64_t cached_tokens_ = 0;
    /// Most recently used first.
    part_list parts_;
    /// Position in `parts_` by part ID.
    absl::flat_hash_map<std::uint64_t, part_list::iterator> index_;
};

} // namespace oriolefall::dispatch

#endif

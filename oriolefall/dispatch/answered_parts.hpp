#ifndef ORIOLEFALL_DISPATCH_ANSWERED_PARTS_HPP
#define ORIOLEFALL_DISPATCH_ANSWERED_PARTS_HPP

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <utility>

namespace oriolefall::dispatch {

/// When prompt parts were last seen in answered requests, for a bounded number
/// of parts. Not thread-safe.
class answered_parts
{
public:
    explicit answered_parts(std::size_t capacity);

    /// Keeps the later time if the part is known already.
    void record(std::uint64_t part, absl::Time answered_at);
    /// InfinitePast for an unknown part.
    [[nodiscard]] absl::Time last_answer(std::uint64_t part) const;

private:
    using entry_list = std::list<std::pair<std::uint64_t, absl::Time>>;

    std::size_t capacity_;
    /// Most recently recorded first.
    entry_list entries_;
    absl::flat_hash_map<std::uint64_t, entry_list::iterator> index_;
};

} // namespace oriolefall::dispatch

#endif

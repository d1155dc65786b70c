#ifndef ORIOLEFALL_DECISION_PREFIX_AFFINITY_HPP
#define ORIOLEFALL_DECISION_PREFIX_AFFINITY_HPP

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolefall::decision {

/// Combines two hashes into one.
[[nodiscard]] std::uint64_t mix_hash(std::uint64_t left, std::uint64_t right);

/// Records which servers were sent which prompt prefixes, in a table of fixed
/// size in which newer entries overwrite older ones.
class prefix_history
{
public:
    /// `entries` is rounded up to a power of two.
    explicit prefix_history(std::size_t entries);

    void record(std::uint64_t prefix, std::uint64_t server, absl::Time now);
    /// True if `server` was sent `prefix` within `lifetime`.
    [[nodiscard]] bool was_sent(std::uint64_t prefix, std::uint64_t server,
                                absl::Time now, absl::Duration lifetime) const;

private:
    struct entry
    {
        std::uint64_t tag = 0;
        absl::Time sent_at = absl::InfinitePast();
    };

    std::vector<entry> entries_;
    std::uint64_t mask_;
};

/// Maps each prompt prefix to an affinity server by rendezvous hashing (Thaler
/// and Ravishankar, 1998) on two levels, so that a choice among n servers takes
/// O(sqrt(n)) steps and few prefixes move when a server is added or removed.
class rendezvous_index
{
public:
    void clear();
    void add(std::uint32_t server, std::uint64_t server_hash);
    [[nodiscard]] std::optional<std::uint32_t>
    select(std::uint64_t prefix) const;

private:
    static constexpr std::size_t cluster_count = 64;

    struct member
    {
        std::uint32_t server;
        std::uint64_t hash;
    };
    struct cluster
    {
        std::uint64_t hash;
        std::vector<member> members;
    };

    /// Clusters with at least one member.
    std::vector<cluster> clusters_;
};

} // namespace oriolefall::decision

#endif

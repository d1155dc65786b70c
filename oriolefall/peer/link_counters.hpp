#ifndef ORIOLEFALL_PEER_LINK_COUNTERS_HPP
#define ORIOLEFALL_PEER_LINK_COUNTERS_HPP

#include "oriolefall/peer/refusal.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace oriolefall::peer {

/// Totals of a link since its start.
struct link_counts
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t connections_opened = 0;
    std::array<std::uint64_t, refusal_count> refused{};
    auto operator<=>(const link_counts&) const = default;

    /// Number of refusals for this reason.
    [[nodiscard]] std::uint64_t count_of(refusal reason) const
    {
        return refused.at(static_cast<std::size_t>(reason));
    }
};

/// Counters of a link, updated mostly on the peer thread. All members may be
/// called from any thread.
class link_counters
{
public:
    void count_bytes_sent(std::size_t bytes);
    void count_bytes_received(std::size_t bytes);
    void count_message_sent();
    void count_message_received();
    void count_connection_opened();
    void count_refusal(refusal reason);
    [[nodiscard]] link_counts snapshot() const;

private:
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> messages_sent_{0};
    std::atomic<std::uint64_t> messages_received_{0};
    std::atomic<std::uint64_t> connections_opened_{0};
    std::array<std::atomic<std::uint64_t>, refusal_count> refused_{};
};

} // namespace oriolefall::peer

#endif

#include "oriolefall/peer/link_counters.hpp"

#include <algorithm>

namespace oriolefall::peer {

void link_counters::count_bytes_sent(std::size_t bytes)
{
    bytes_sent_ += bytes;
}

void link_counters::count_bytes_received(std::size_t bytes)
{
    bytes_received_ += bytes;
}

void link_counters::count_message_sent()
{
    ++messages_sent_;
}

void link_counters::count_message_received()
{
    ++messages_received_;
}

void link_counters::count_connection_opened()
{
    ++connections_opened_;
}

void link_counters::count_refusal(refusal reason)
{
    ++refused_.at(static_cast<std::size_t>(reason));
}

link_counts link_counters::snapshot() const
{
    link_counts counts{bytes_sent_,        bytes_received_,     messages_sent_,
                       messages_received_, connections_opened_, {}};
    std::ranges::transform(
        refused_, counts.refused.begin(),
        [](const std::atomic<std::uint64_t>& count) { return count.load(); });
    return counts;
}

} // namespace oriolefall::peer

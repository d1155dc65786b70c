#include "oriolefall/membership/member.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <string>
#include <tuple>

namespace oriolefall::membership {

std::string_view to_string(member_state value)
{
    switch (value) {
    case member_state::live:
        return "live";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

bool supersedes(const member& received, const member& known)
{
    return std::tie(received.incarnation, received.state) >
           std::tie(known.incarnation, known.state);
}

bool is_known_by_gossip(const member& value)
{
    return value.incarnation != 0 && participates_in_gossip(value);
}

bool participates_in_gossip(const member& value)
{
    return value.state != member_state::dead;
}

std::uint64_t digest_of(const member& value)
{
    if (!participates_in_gossip(value))
        return 0;
    const std::string version = std::to_string(value.incarnation) + '/' +
                                std::string(to_string(value.state));
    return rendezvous_weight(version, value.id.value());
}

std::size_t bucket_of(const core::instance_id& id)
{
    return rendezvous_weight("bucket", id.value()) % member_buckets::count;
}

} // namespace oriolefall::membership

#include "oriolefall/membership/entry_choice.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <tuple>
#include <vector>

namespace oriolefall::membership {

namespace {

struct candidate
{
    bool is_remote = false;
    std::uint64_t weight = 0;
    const member* value = nullptr;
};

/// Orders instances of the caller's region first, then by descending weight.
bool ranks_before(const candidate& left, const candidate& right)
{
    return std::tie(left.is_remote, right.weight, left.value->id) <
           std::tie(right.is_remote, left.weight, right.value->id);
}

std::vector<candidate> candidates_in(member_state state,
                                     const entry_query& query,
                                     std::span<const member> members)
{
    const std::string key =
        query.workspace.value() + '\n' + std::to_string(query.shard);
    std::vector<candidate> found;
    for (const member& value : members) {
        if (value.state != state)
            continue;
        found.push_back({value.location.region != query.region,
                         rendezvous_weight(key, value.id.value()), &value});
    }
    std::ranges::sort(found, ranks_before);
    return found;
}

/// Moves the highest-ranked instance of another failure domain to the second
/// place, unless that one is of another region and the first one is not.
void spread_over_domains(std::vector<candidate>& ranked)
{
    if (ranked.size() < 2)
        return;
    const candidate& first = ranked.front();
    const auto second = std::next(ranked.begin());
    const auto other =
        std::find_if(second, ranked.end(), [&first](const candidate& some) {
            return some.value->location != first.value->location;
        });
    if (other != ranked.end() && other->is_remote == first.is_remote)
        std::rotate(second, other, std::next(other));
}

} // namespace

entry_choice choose_entry(const entry_query& query,
                          std::span<const member> members,
                          const entry_settings& settings)
{
    std::vector<candidate> ranked =
        candidates_in(member_state::live, query, members);
    if (ranked.empty())
        ranked = candidates_in(member_state::suspect, query, members);
    spread_over_domains(ranked);
    entry_choice choice{{}, settings.lifetime};
    const std::size_t count = std::min(settings.addresses, ranked.size());
    for (std::size_t i = 0; i < count; ++i)
        choice.members.push_back(*ranked[i].value);
    return choice;
}

} // namespace oriolefall::membership

#include "oriolefall/settings/replica.hpp"

#include "oriolefall/core/concat.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace oriolefall::settings {

namespace {

/// Share of one object in the digest; the shares are joined by exclusive or,
/// so that their order does not matter.
std::uint64_t digest_share(const std::string& path, std::uint64_t version)
{
    const std::string text = core::concat(path, " ", version);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

bool replica::offer(const tree_object& offered)
{
    const auto held = held_.find(offered.path);
    if (held == held_.end()) {
        held_.emplace(offered.path, offered);
    } else {
        if (held->second.version >= offered.version)
            return false;
        digest_ ^= digest_share(offered.path, held->second.version);
        held->second = offered;
    }
    digest_ ^= digest_share(offered.path, offered.version);
    ++changes_;
    const auto expected = expected_.find(offered.path);
    if (expected != expected_.end() && expected->second <= offered.version)
        expected_.erase(expected);
    return true;
}

void replica::expect(std::span<const path_version> told)
{
    for (const path_version& some : told) {
        if (some.version <= version_of(some.path))
            continue;
        std::uint64_t& expected = expected_[some.path];
        expected = std::max(expected, some.version);
    }
}

std::vector<path_version> replica::behind() const
{
    std::vector<path_version> missing;
    std::ranges::transform(expected_, std::back_inserter(missing),
                           [](const auto& some) {
                               return path_version{some.first, some.second};
                           });
    return missing;
}

std::uint64_t replica::version_of(std::string_view path) const
{
    const auto held = held_.find(path);
    return held == held_.end() ? 0 : held->second.version;
}

std::vector<tree_object> replica::objects() const
{
    std::vector<tree_object> all;
    std::ranges::transform(held_, std::back_inserter(all),
                           [](const auto& some) { return some.second; });
    return all;
}

std::vector<path_version> replica::versions() const
{
    std::vector<path_version> all;
    std::ranges::transform(
        held_, std::back_inserter(all), [](const auto& some) {
            return path_version{some.first, some.second.version};
        });
    return all;
}

std::vector<tree_object>
replica::newer_than(std::span<const path_version> told) const
{
    std::map<std::string_view, std::uint64_t> theirs;
    for (const path_version& some : told)
        theirs.emplace(some.path, some.version);
    std::vector<tree_object> newer;
    for (const auto& [path, object] : held_) {
        const auto at = theirs.find(path);
        if (at == theirs.end() || at->second < object.version)
            newer.push_back(object);
    }
    return newer;
}

std::vector<team_version> replica::team_versions() const
{
    std::map<core::team_name, std::uint64_t> newest;
    for (const auto& [path, object] : held_) {
        if (const auto team = team_of(path))
            newest[*team] = std::max(newest[*team], object.version);
    }
    std::vector<team_version> all;
    std::ranges::transform(newest, std::back_inserter(all),
                           [](const auto& some) {
                               return team_version{some.first, some.second};
                           });
    return all;
}

std::vector<core::team_name>
replica::teams_to_fetch(std::span<const team_version> told) const
{
    const auto own = team_versions();
    std::vector<core::team_name> wanted;
    for (const team_version& theirs : told) {
        const auto ours =
            std::ranges::find(own, theirs.team, &team_version::team);
        if (ours == own.end() || ours->version < theirs.version)
            wanted.push_back(theirs.team);
    }
    return wanted;
}

std::vector<tree_object> replica::objects_of(const core::team_name& team) const
{
    std::vector<tree_object> subtree;
    for (const auto& [path, object] : held_) {
        if (team_of(path) == team)
            subtree.push_back(object);
    }
    return subtree;
}

} // namespace oriolefall::settings

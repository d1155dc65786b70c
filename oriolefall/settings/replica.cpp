#include "oriolefall/settings/replica.hpp"

#include "oriolefall/core/concat.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace oriolefall::settings {

namespace {

/// Hash of one object's path and version. The hashes are combined by exclusive
/// or, so that the digest does not depend on their order.
std::uint64_t object_digest(const std::string& path, std::uint64_t version)
{
    const std::string text = core::concat(path, " ", version);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

bool replica::offer(const tree_object& offered)
{
    const auto stored = objects_.find(offered.path);
    if (stored == objects_.end()) {
        objects_.emplace(offered.path, offered);
    } else {
        if (stored->second.version >= offered.version)
            return false;
        digest_ ^= object_digest(offered.path, stored->second.version);
        stored->second = offered;
    }
    digest_ ^= object_digest(offered.path, offered.version);
    ++change_count_;
    const auto expected = expected_versions_.find(offered.path);
    if (expected != expected_versions_.end() &&
        expected->second <= offered.version)
        expected_versions_.erase(expected);
    return true;
}

void replica::expect(std::span<const path_version> reported)
{
    for (const path_version& entry : reported) {
        if (entry.version <= version_of(entry.path))
            continue;
        std::uint64_t& expected = expected_versions_[entry.path];
        expected = std::max(expected, entry.version);
    }
}

std::vector<path_version> replica::missing_versions() const
{
    std::vector<path_version> missing;
    std::ranges::transform(expected_versions_, std::back_inserter(missing),
                           [](const auto& entry) {
                               return path_version{entry.first, entry.second};
                           });
    return missing;
}

std::uint64_t replica::version_of(std::string_view path) const
{
    const auto stored = objects_.find(path);
    return stored == objects_.end() ? 0 : stored->second.version;
}

std::vector<tree_object> replica::objects() const
{
    std::vector<tree_object> all;
    std::ranges::transform(objects_, std::back_inserter(all),
                           [](const auto& entry) { return entry.second; });
    return all;
}

std::vector<path_version> replica::versions() const
{
    std::vector<path_version> all;
    std::ranges::transform(
        objects_, std::back_inserter(all), [](const auto& entry) {
            return path_version{entry.first, entry.second.version};
        });
    return all;
}

std::vector<tree_object>
replica::newer_than(std::span<const path_version> reported) const
{
    std::map<std::string_view, std::uint64_t> reported_versions;
    for (const path_version& entry : reported)
        reported_versions.emplace(entry.path, entry.version);
    std::vector<tree_object> newer;
    for (const auto& [path, object] : objects_) {
        const auto reported_version = reported_versions.find(path);
        if (reported_version == reported_versions.end() ||
            reported_version->second < object.version)
            newer.push_back(object);
    }
    return newer;
}

std::vector<team_version> replica::team_versions() const
{
    std::map<core::team_name, std::uint64_t> newest;
    for (const auto& [path, object] : objects_) {
        if (const auto team = team_of(path))
            newest[*team] = std::max(newest[*team], object.version);
    }
    std::vector<team_version> all;
    std::ranges::transform(newest, std::back_inserter(all),
                           [](const auto& entry) {
                               return team_version{entry.first, entry.second};
                           });
    return all;
}

std::vector<core::team_name>
replica::outdated_teams(std::span<const team_version> reported) const
{
    const auto own_versions = team_versions();
    std::vector<core::team_name> outdated;
    for (const team_version& reported_version : reported) {
        const auto own = std::ranges::find(own_versions, reported_version.team,
                                           &team_version::team);
        if (own == own_versions.end() ||
            own->version < reported_version.version)
            outdated.push_back(reported_version.team);
    }
    return outdated;
}

std::vector<tree_object> replica::objects_of(const core::team_name& team) const
{
    std::vector<tree_object> subtree;
    for (const auto& [path, object] : objects_) {
        if (team_of(path) == team)
            subtree.push_back(object);
    }
    return subtree;
}

} // namespace oriolefall::settings

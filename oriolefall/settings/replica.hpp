#ifndef ORIOLEFALL_SETTINGS_REPLICA_HPP
#define ORIOLEFALL_SETTINGS_REPLICA_HPP

#include "oriolefall/settings/tree_object.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::settings {

/// One instance's copy of the settings tree. Holds the highest version offered
/// of each object. An older version is ignored, whether it comes from a stale
/// read, a peer or a duplicate delivery. No I/O; not thread-safe.
class replica
{
public:
    /// Stores `offered` when it is newer than the stored version, and returns
    /// whether it was stored.
    bool offer(const tree_object& offered);

    /// Records versions that a peer reported without sending the objects.
    void expect(std::span<const path_version> reported);

    /// Expected versions that are newer than the stored ones. An instance that
    /// has just started is not ready until this is empty, since it may have
    /// had those versions in force before the restart.
    [[nodiscard]] std::vector<path_version> missing_versions() const;

    /// Stored version of an object; 0 when it is not stored.
    [[nodiscard]] std::uint64_t version_of(std::string_view path) const;

    /// All stored objects, ordered by path.
    [[nodiscard]] std::vector<tree_object> objects() const;
    /// Versions of all stored objects, ordered by path.
    [[nodiscard]] std::vector<path_version> versions() const;

    /// Stored objects that `reported` lacks or has in an older version; they
    /// are sent to the peer that reported its versions.
    [[nodiscard]] std::vector<tree_object>
    newer_than(std::span<const path_version> reported) const;

    /// Highest stored version in each team's subtree, ordered by team.
    [[nodiscard]] std::vector<team_version> team_versions() const;
    /// Teams for which `reported` has a newer version than the stored one.
    [[nodiscard]] std::vector<core::team_name>
    outdated_teams(std::span<const team_version> reported) const;
    /// All stored objects of a team's subtree, ordered by path.
    [[nodiscard]] std::vector<tree_object>
    objects_of(const core::team_name& team) const;

    /// Equal for replicas with the same versions, in every process.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// Number of offers that were stored. Serves as the version of the routing
    /// tables of this process.
    [[nodiscard]] std::uint64_t change_count() const noexcept
    {
        return change_count_;
    }

private:
    std::map<std::string, tree_object, std::less<>> objects_;
    std::map<std::string, std::uint64_t, std::less<>> expected_versions_;
    std::uint64_t digest_ = 0;
    std::uint64_t change_count_ = 0;
};

} // namespace oriolefall::settings

#endif

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

/// One instance's copy of the settings tree. Holds the highest version of
/// each object that anyone offered and never goes back, whoever offers an
/// older one: a stale read, a peer, a repeat. Pure; one thread.
class replica
{
public:
    /// Keeps `offered` when it is newer than what is held. True: kept.
    bool offer(const tree_object& offered);

    /// Notes that an object has at least these versions, told by a peer that
    /// did not send the objects.
    void expect(std::span<const path_version> told);

    /// Objects of which a newer version is known to exist than is held. An
    /// instance that has just started is not ready before this is empty,
    /// since it may have had those versions in force before.
    [[nodiscard]] std::vector<path_version> behind() const;

    /// Version held of an object; 0 when it is not held.
    [[nodiscard]] std::uint64_t version_of(std::string_view path) const;

    /// What is held, in the order of paths.
    [[nodiscard]] std::vector<tree_object> objects() const;
    [[nodiscard]] std::vector<path_version> versions() const;

    /// Objects held in a newer version than `told` has; to be sent to the
    /// peer that told its versions.
    [[nodiscard]] std::vector<tree_object>
    newer_than(std::span<const path_version> told) const;

    /// Newest version held in each team's subtree, in the order of teams.
    [[nodiscard]] std::vector<team_version> team_versions() const;
    /// Teams of which `told` has a newer version than is held.
    [[nodiscard]] std::vector<core::team_name>
    teams_to_fetch(std::span<const team_version> told) const;
    /// A whole subtree, in the order of paths.
    [[nodiscard]] std::vector<tree_object>
    objects_of(const core::team_name& team) const;

    /// Equal for replicas that hold the same versions, in every process.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// Objects kept so far; grows with each `offer` that was kept. Orders
    /// the routing tables of this process.
    [[nodiscard]] std::uint64_t changes() const noexcept
    {
        return changes_;
    }

private:
    std::map<std::string, tree_object, std::less<>> held_;
    std::map<std::string, std::uint64_t, std::less<>> expected_;
    std::uint64_t digest_ = 0;
    std::uint64_t changes_ = 0;
};

} // namespace oriolefall::settings

#endif

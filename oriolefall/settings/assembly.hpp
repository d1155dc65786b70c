#ifndef ORIOLEFALL_SETTINGS_ASSEMBLY_HPP
#define ORIOLEFALL_SETTINGS_ASSEMBLY_HPP

#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/tree_object.hpp"

#include <compare>
#include <span>
#include <string>
#include <vector>

namespace oriolefall::settings {

/// A fault and the path of the settings object that contains it.
struct tree_fault
{
    std::string object_path;
    core::settings_error error;
    auto operator<=>(const tree_fault&) const = default;
};

/// The deployment assembled from the objects of all teams.
struct assembled_deployment
{
    settings::deployment deployment;
    /// The elements that were omitted and why. Two teams that change settings
    /// at the same time can cause faults that neither check could see.
    std::vector<tree_fault> faults;
    std::partial_ordering
    operator<=>(const assembled_deployment&) const = default;
};

/// Merges the objects, except for moves, in the order of their paths. An object
/// may contain any list of a deployment except `teams`, which is derived from
/// the subtrees that contain an object. A workspace belongs to the team whose
/// subtree contains it. A faulty element is omitted, so that the others stay in
/// force; of two elements with the same name the one with the later path is
/// omitted. The result does not depend on the order of `objects`. Thread-safe.
[[nodiscard]] assembled_deployment
assemble(std::span<const tree_object> objects);

} // namespace oriolefall::settings

#endif

#ifndef ORIOLEFALL_SETTINGS_ASSEMBLY_HPP
#define ORIOLEFALL_SETTINGS_ASSEMBLY_HPP

#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/tree_object.hpp"

#include <compare>
#include <span>
#include <string>
#include <vector>

namespace oriolefall::settings {

/// A fault and the object of the settings tree that it is in.
struct tree_fault
{
    std::string object_path;
    core::settings_error error;
    auto operator<=>(const tree_fault&) const = default;
};

/// One deployment made from every team's objects.
struct assembled
{
    settings::deployment deployment;
    /// What was left out and why. Two teams that changed settings at the
    /// same moment can cause faults that neither could see.
    std::vector<tree_fault> faults;
    std::partial_ordering operator<=>(const assembled&) const = default;
};

/// Joins the objects, but for moves, in the order of their paths. Each may hold
/// any of the lists of a deployment but `teams`: those are the subtrees that
/// hold an object. A workspace belongs to the team whose subtree it is in. An
/// element with a fault is left out, so that the rest stays in force; of two
/// with one name the later path is left out. The same objects give the same
/// result, in whatever order they came. Any thread.
[[nodiscard]] assembled assemble(std::span<const tree_object> objects);

} // namespace oriolefall::settings

#endif

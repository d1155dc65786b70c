#include "oriolefall/objects/settings_store.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::objects {

namespace {

using settings::change_refusal;
using settings::change_refused;

/// Version that the change must replace, 0 when it must create the object.
std::uint64_t version_to_replace(const settings::change& change,
                                 const std::vector<settings::tree_object>& tree)
{
    if (change.expected_version)
        return *change.expected_version;
    const auto found =
        std::ranges::find(tree, change.path, &settings::tree_object::path);
    return found == tree.end() ? 0 : found->version;
}

write_condition condition_for_version(std::uint64_t version)
{
    if (version == 0)
        return if_absent{};
    return if_version{version};
}

change_result to_change_result(const write_result& result)
{
    if (const auto* success = std::get_if<written>(&result))
        return change_accepted{success->version};
    if (const auto* conflicting = std::get_if<conflict>(&result))
        return change_refused{
            change_refusal::conflict, {}, conflicting->version};
    if (std::holds_alternative<rejected>(result))
        return change_refused{change_refusal::too_large, {}, 0};
    if (std::holds_alternative<unavailable>(result))
        return change_refused{change_refusal::unavailable, {}, 0};
    return change_refused{change_refusal::unknown_outcome, {}, 0};
}

} // namespace

settings::tree_object to_tree_object(const stored_object& stored)
{
    return {stored.path, stored.version, stored.value};
}

settings_store::settings_store(object_store store,
                               std::vector<settings::team_key> keys)
    : store_(std::move(store)), keys_(std::move(keys))
{
}

tree_read_result settings_store::get(const std::string& path)
{
    if (!settings::team_of(path))
        return not_found{};
    const read_result result = store_.read(path);
    if (const auto* object = std::get_if<stored_object>(&result))
        return to_tree_object(*object);
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    return not_found{};
}

tree_list_result settings_store::list()
{
    const list_result result = store_.list(std::string(settings::tree_root));
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    std::vector<settings::tree_object> tree;
    std::ranges::transform(std::get<object_list>(result).objects,
                           std::back_inserter(tree), to_tree_object);
    return tree;
}

change_result settings_store::put(const settings::change& change)
{
    const tree_list_result listed = list();
    if (std::holds_alternative<unavailable>(listed))
        return change_refused{change_refusal::unavailable, {}, 0};
    const auto& tree = std::get<std::vector<settings::tree_object>>(listed);
    auto checked = settings::check_change(change, tree, keys_);
    if (auto* refused = std::get_if<change_refused>(&checked))
        return std::move(*refused);
    const auto& value = std::get<settings::change_checked>(checked).value;
    return to_change_result(
        store_.put(change.path, value,
                   condition_for_version(version_to_replace(change, tree))));
}

watch_result settings_store::watch(std::uint64_t from, absl::Duration timeout)
{
    return store_.watch(std::string(settings::tree_root), from, timeout);
}

in_force_result
wait_until_in_force(const settings::path_version& version,
                    const lagging_instances_hook& lagging_instances,
                    const in_force_wait_settings& settings, stop_signal& stop)
{
    const absl::Time deadline = settings.clock() + settings.timeout;
    for (std::uint32_t retry = 0;; ++retry) {
        std::vector<core::instance_id> lagging = lagging_instances(version);
        if (lagging.empty())
            return in_force_everywhere{};
        const absl::Duration remaining = deadline - settings.clock();
        const absl::Duration delay = std::min(
            remaining, backoff_delay(settings.backoff, retry, settings.random));
        if (remaining <= absl::ZeroDuration() || !stop.wait(delay))
            return not_yet_in_force{std::move(lagging)};
    }
}

} // namespace oriolefall::objects

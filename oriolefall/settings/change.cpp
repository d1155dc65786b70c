#include "oriolefall/settings/change.hpp"

#include "oriolefall/settings/json_text.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>

namespace oriolefall::settings {

namespace {

/// The time does not depend on the position of the first difference, so that
/// it does not reveal how much of a key was right.
bool is_equal_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^
                      static_cast<unsigned char>(right[i]);
    return difference == 0;
}

/// Faults of `after` that `before` does not have, and all faults of the object
/// at `changed_path`.
std::vector<tree_fault> added_faults(std::vector<tree_fault> before,
                                     const std::vector<tree_fault>& after,
                                     const std::string& changed_path)
{
    std::ranges::sort(before);
    std::vector<tree_fault> result;
    std::ranges::copy_if(after, std::back_inserter(result),
                         [&](const tree_fault& fault) {
                             return fault.object_path == changed_path ||
                                    !std::ranges::binary_search(before, fault);
                         });
    return result;
}

std::vector<tree_object> with_object(std::span<const tree_object> current,
                                     const std::string& path,
                                     const std::string& value)
{
    std::vector<tree_object> objects;
    std::ranges::copy_if(
        current, std::back_inserter(objects),
        [&](const tree_object& object) { return object.path != path; });
    objects.push_back({path, 0, value});
    return objects;
}

} // namespace

std::string_view to_string(change_refusal value)
{
    constexpr std::array<std::string_view, change_refusal_count> names{
        "unknown_team", "wrong_key", "outside_subtree", "invalid",
        "conflict",     "too_large", "unavailable",     "unknown_outcome"};
    const auto index = static_cast<std::size_t>(value);
    assert(index < names.size());
    return names[index];
}

std::optional<change_refusal> authorize_write(const team_key& claimed,
                                              std::string_view path,
                                              std::span<const team_key> keys)
{
    const auto known = std::ranges::find(keys, claimed.team, &team_key::team);
    if (known == keys.end())
        return change_refusal::unknown_team;
    if (!is_equal_constant_time(known->key, claimed.key))
        return change_refusal::wrong_key;
    if (team_of(path) != claimed.team)
        return change_refusal::outside_subtree;
    return std::nullopt;
}

std::variant<change_checked, change_refused>
check_change(const change& requested, std::span<const tree_object> current,
             std::span<const team_key> keys)
{
    if (const auto refusal = authorize_write({requested.team, requested.key},
                                             requested.path, keys))
        return change_refused{*refusal, {}, 0};
    // Moves are written by the move store, which has its own checks.
    if (is_move_path(requested.path))
        return change_refused{change_refusal::outside_subtree, {}, 0};
    const auto parsed = parse_json(requested.text);
    if (const auto* faults = std::get_if<errors>(&parsed)) {
        change_refused refused;
        for (const core::settings_error& fault : *faults)
            refused.faults.push_back({requested.path, fault});
        return refused;
    }
    const std::string value = std::get<nlohmann::json>(parsed).dump();
    const auto after = assemble(with_object(current, requested.path, value));
    auto faults =
        added_faults(assemble(current).faults, after.faults, requested.path);
    if (!faults.empty())
        return change_refused{change_refusal::invalid, std::move(faults), 0};
    return change_checked{value};
}

} // namespace oriolefall::settings

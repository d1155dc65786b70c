#include "oriolefall/settings/change.hpp"

#include "oriolefall/settings/json_text.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>

namespace oriolefall::settings {

namespace {

/// Compares in a time that does not tell how much of the key was right.
bool is_same_secret(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^
                      static_cast<unsigned char>(right[i]);
    return difference == 0;
}

/// Faults of `after` that `before` does not have, and all of one object.
std::vector<tree_fault> added(std::vector<tree_fault> before,
                              const std::vector<tree_fault>& after,
                              const std::string& changed_path)
{
    std::ranges::sort(before);
    std::vector<tree_fault> found;
    std::ranges::copy_if(after, std::back_inserter(found),
                         [&](const tree_fault& fault) {
                             return fault.object_path == changed_path ||
                                    !std::ranges::binary_search(before, fault);
                         });
    return found;
}

std::vector<tree_object> replaced(std::span<const tree_object> current,
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

std::optional<change_refusal> check_team(const team_key& claimed,
                                         std::string_view path,
                                         std::span<const team_key> keys)
{
    const auto known = std::ranges::find(keys, claimed.team, &team_key::team);
    if (known == keys.end())
        return change_refusal::unknown_team;
    if (!is_same_secret(known->key, claimed.key))
        return change_refusal::wrong_key;
    if (team_of(path) != claimed.team)
        return change_refusal::outside_subtree;
    return std::nullopt;
}

std::variant<change_checked, change_refused>
check_change(const change& wanted, std::span<const tree_object> current,
             std::span<const team_key> keys)
{
    if (const auto refusal =
            check_team({wanted.team, wanted.key}, wanted.path, keys))
        return change_refused{*refusal, {}, 0};
    // Moves have checks of their own.
    if (is_move_path(wanted.path))
        return change_refused{change_refusal::outside_subtree, {}, 0};
    const auto parsed = parse_json(wanted.text);
    if (const auto* faults = std::get_if<errors>(&parsed)) {
        change_refused refused;
        for (const core::settings_error& fault : *faults)
            refused.faults.push_back({wanted.path, fault});
        return refused;
    }
    const std::string value = std::get<nlohmann::json>(parsed).dump();
    const auto after = assemble(replaced(current, wanted.path, value));
    auto faults = added(assemble(current).faults, after.faults, wanted.path);
    if (!faults.empty())
        return change_refused{change_refusal::invalid, std::move(faults), 0};
    return change_checked{value};
}

} // namespace oriolefall::settings

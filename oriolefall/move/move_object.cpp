#include "oriolefall/move/move_object.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace oriolefall::move {

namespace {

constexpr std::array<std::string_view, 6> phase_names{
    "accepted", "warming", "shifting", "draining", "done", "aborted"};
constexpr std::array<std::string_view, 3> requested_state_names{"run", "pause",
                                                                "abort"};
constexpr std::array<std::string_view, 10> cause_names{
    "created",           "begun",           "models_loaded", "attainment_held",
    "attainment_missed", "all_shifted",     "all_drained",   "operator_paused",
    "operator_resumed",  "operator_aborted"};

template <class Enum, std::size_t Count>
std::string_view name_of(Enum value,
                         const std::array<std::string_view, Count>& names)
{
    const auto index = static_cast<std::size_t>(value);
    assert(index < Count);
    return names[index];
}

template <class Enum, std::size_t Count>
std::optional<Enum> value_of(std::string_view name,
                             const std::array<std::string_view, Count>& names)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

} // namespace

std::string_view to_string(phase value)
{
    return name_of(value, phase_names);
}

std::string_view to_string(requested_state value)
{
    return name_of(value, requested_state_names);
}

std::string_view to_string(step_cause value)
{
    return name_of(value, cause_names);
}

std::optional<phase> parse_phase(std::string_view name)
{
    return value_of<phase>(name, phase_names);
}

std::optional<requested_state> parse_requested_state(std::string_view name)
{
    return value_of<requested_state>(name, requested_state_names);
}

std::optional<step_cause> parse_step_cause(std::string_view name)
{
    return value_of<step_cause>(name, cause_names);
}

bool is_ended(const move_object& value)
{
    return value.phase == phase::done || value.phase == phase::aborted;
}

bool may_follow(phase from, phase to)
{
    if (from == phase::done || from == phase::aborted)
        return false;
    return to == phase::aborted || to == from ||
           static_cast<int>(to) == static_cast<int>(from) + 1;
}

} // namespace oriolefall::move

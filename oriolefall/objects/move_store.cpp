#include "oriolefall/objects/move_store.hpp"

#include "oriolefall/objects/move_json.hpp"

#include <utility>

namespace oriolefall::objects {

namespace {

/// Attempts to write a requested state. The holder takes a step every few
/// seconds at most, so more conflicts in a row are not expected.
constexpr int max_write_attempts = 5;

move_write_result to_move_result(const write_result& result)
{
    if (const auto* success = std::get_if<written>(&result))
        return *success;
    if (const auto* conflicting = std::get_if<conflict>(&result))
        return *conflicting;
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    if (const auto* refused = std::get_if<rejected>(&result))
        return invalid_move{{{"/", refused->reason, "a value up to 1MiB"}}};
    return std::get<unknown_outcome>(result);
}

/// Sets the fields that instances write to those of a new move, whatever the
/// operator's text contains.
void reset_progress(move::move_object& object)
{
    object.phase = move::phase::accepted;
    object.paused = false;
    object.percent = 0;
    object.history.clear();
}

} // namespace

move_store::move_store(object_store store, std::vector<settings::team_key> keys)
    : store_(std::move(store)), keys_(std::move(keys))
{
}

move_write_result move_store::create(const settings::team_key& team_key,
                                     std::string_view text)
{
    auto parsed = parse_move(text);
    if (auto* faults = std::get_if<std::vector<core::settings_error>>(&parsed))
        return invalid_move{std::move(*faults)};
    auto& object = std::get<move::move_object>(parsed);
    reset_progress(object);
    const std::string path = move_path(object.team, object.name);
    if (const auto refusal = settings::authorize_write(team_key, path, keys_))
        return move_write_refused{*refusal};
    return to_move_result(store_.put(path, print_move(object), if_absent{}));
}

move_read_result move_store::show(const core::team_name& team,
                                  const core::move_name& name)
{
    const read_result result = store_.read(move_path(team, name));
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    const auto* object = std::get_if<stored_object>(&result);
    if (object == nullptr)
        return not_found{};
    auto parsed = parse_move(object->value);
    if (auto* value = std::get_if<move::move_object>(&parsed))
        return stored_move{std::move(*value), object->version};
    return invalid_move{
        std::get<std::vector<core::settings_error>>(std::move(parsed))};
}

move_list_result move_store::list()
{
    const list_result result = store_.list(std::string(settings::tree_root));
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    std::vector<stored_move> moves;
    for (const stored_object& object : std::get<object_list>(result).objects) {
        if (!settings::is_move_path(object.path))
            continue;
        auto parsed = parse_move(object.value);
        if (auto* value = std::get_if<move::move_object>(&parsed))
            moves.push_back({std::move(*value), object.version});
    }
    return moves;
}

move_write_result
move_store::set_requested_state(const settings::team_key& team_key,
                                const core::move_name& name,
                                move::requested_state state)
{
    const std::string path = move_path(team_key.team, name);
    if (const auto refusal = settings::authorize_write(team_key, path, keys_))
        return move_write_refused{*refusal};
    move_write_result result = not_found{};
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        move_read_result found = show(team_key.team, name);
        if (const auto* error = std::get_if<unavailable>(&found))
            return *error;
        if (auto* invalid = std::get_if<invalid_move>(&found))
            return std::move(*invalid);
        auto* stored = std::get_if<stored_move>(&found);
        if (stored == nullptr)
            return not_found{};
        if (move::is_ended(stored->object))
            return move_ended{stored->object.phase};
        stored->object.requested_state = state;
        result = to_move_result(store_.put(path, print_move(stored->object),
                                           if_version{stored->version}));
        if (!std::holds_alternative<conflict>(result))
            return result;
    }
    return result;
}

} // namespace oriolefall::objects

#include "oriolefall/objects/move_json.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/settings/duplicates.hpp"
#include "oriolefall/settings/object_reader.hpp"
#include "oriolefall/settings/tree_object.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace oriolefall::objects {

namespace {

using nlohmann::json;
using settings::object_reader;

constexpr std::uint32_t max_percent = 100;
constexpr std::uint64_t max_exact_integer = 1ULL << 53U;

/// All values of an enumeration, and their names in the same order.
template <class Enum, std::size_t Count>
struct enum_choices
{
    enum_choices()
    {
        for (std::size_t i = 0; i < Count; ++i) {
            values[i] = static_cast<Enum>(i);
            names[i] = to_string(values[i]);
        }
    }

    std::array<Enum, Count> values;
    std::array<std::string_view, Count> names;
};

template <class Enum, std::size_t Count>
void read_enum(object_reader& reader, const settings::setting_spec& setting,
               Enum& into)
{
    static const enum_choices<Enum, Count> choices;
    reader.read<Enum>(setting, into, choices.names, choices.values);
}

void read_phase(object_reader& reader, move::phase& into)
{
    read_enum<move::phase, 6>(
        reader, {"phase", "How far it has come; written by the instances."},
        into);
}

void read_percent(object_reader& reader, std::uint32_t& into)
{
    reader.read({"percent", "Share of their slots that arriving servers take; "
                            "written by the instances."},
                into, {0U, max_percent});
}

void read_level(object_reader& reader, move::class_level& into)
{
    reader.read({"name", "Class of requests.", true}, into.name);
    read_enum<core::tier, core::tier_count>(
        reader, {"tier", "Service level during the move.", true}, into.tier);
    reader.read({"priority", "Lower goes first inside the tier."},
                into.priority, {0U, 1000U});
}

void read_arriving(object_reader& reader, move::arriving_server& into)
{
    reader.read({"id", "Backend server that takes over traffic.", true},
                into.id);
    reader.read({"models", "Models that it must have loaded first."},
                into.models);
    reader.read({"checks_fencing",
                 "True: it refuses an order with an old fencing number."},
                into.checks_fencing);
}

void read_record(object_reader& reader, move::step_record& into)
{
    std::uint64_t at_ms = 0;
    reader.read({"at_ms", "When, in milliseconds since 1970."}, at_ms,
                {0, max_exact_integer});
    into.at = absl::FromUnixMillis(static_cast<std::int64_t>(at_ms));
    read_phase(reader, into.phase);
    read_percent(reader, into.percent);
    read_enum<move::step_cause, 10>(reader, {"cause", "Why."}, into.cause);
    reader.read({"lowest_class", "Class with the lowest attainment."},
                into.lowest_class);
    reader.read({"attainment", "Its attainment."}, into.attainment, {0.0, 1.0});
    reader.read({"fencing_number", "Who took the step."}, into.fencing_number,
                {0, max_exact_integer});
}

void read_move(object_reader& reader, move::move_object& into)
{
    reader.read({"name", "Name of the move.", true}, into.name);
    reader.read({"team", "Team that created it.", true}, into.team);
    reader.read_list({"classes", "Service levels during the move."},
                     into.classes, read_level);
    reader.read({"leaving", "Backend servers that get no new work."},
                into.leaving);
    reader.read_list({"arriving", "Backend servers that take over."},
                     into.arriving, read_arriving);
    read_enum<move::requested_state, 3>(
        reader, {"wish", "What the operator asks for."}, into.requested_state);
    read_phase(reader, into.phase);
    reader.read({"paused", "True: no step is taken; written by the "
                           "instances."},
                into.paused);
    read_percent(reader, into.percent);
    reader.read_list({"history", "Steps taken; written by the instances."},
                     into.history, read_record);
}

/// Reports servers that both leave and arrive, and a move without servers.
void check_servers(const move::move_object& value, settings::errors& errors)
{
    for (std::size_t i = 0; i < value.arriving.size(); ++i) {
        const core::backend_server_id& id = value.arriving[i].id;
        if (std::ranges::find(value.leaving, id) != value.leaving.end())
            errors.push_back({core::concat("/arriving/", i, "/id"),
                              core::concat("\"", id.value(), "\""),
                              "a server that is not leaving"});
    }
    if (value.leaving.empty() && value.arriving.empty())
        errors.push_back({"/", "no server", "a server that leaves or arrives"});
}

json print_record(const move::step_record& record)
{
    json value{{"at_ms", absl::ToUnixMillis(record.at)},
               {"phase", to_string(record.phase)},
               {"percent", record.percent},
               {"cause", to_string(record.cause)},
               {"attainment", record.attainment},
               {"fencing_number", record.fencing_number}};
    if (!record.lowest_class.value().empty())
        value["lowest_class"] = record.lowest_class.value();
    return value;
}

json print_level(const move::class_level& level)
{
    return {{"name", level.name.value()},
            {"tier", to_string(level.tier)},
            {"priority", level.priority}};
}

json print_arriving(const move::arriving_server& server)
{
    json models = json::array();
    for (const core::model_name& model : server.models)
        models.push_back(model.value());
    return {{"id", server.id.value()},
            {"models", std::move(models)},
            {"checks_fencing", server.checks_fencing}};
}

template <class Element, class Print>
json print_list(const std::vector<Element>& list, Print print)
{
    json values = json::array();
    std::ranges::transform(list, std::back_inserter(values), print);
    return values;
}

} // namespace

std::string move_path(const core::team_name& team, const core::move_name& name)
{
    return core::concat(settings::tree_root, team.value(), "/moves/",
                        name.value());
}

std::string move_lease_path(const core::team_name& team,
                            const core::move_name& name)
{
    return core::concat("/leases/", team.value(), "/moves/", name.value());
}

std::string print_move(const move::move_object& value)
{
    const json text{{"name", value.name.value()},
                    {"team", value.team.value()},
                    {"classes", print_list(value.classes, print_level)},
                    {"leaving", print_list(value.leaving,
                                           [](const auto& id) {
                                               return json(id.value());
                                           })},
                    {"arriving", print_list(value.arriving, print_arriving)},
                    {"wish", to_string(value.requested_state)},
                    {"phase", to_string(value.phase)},
                    {"paused", value.paused},
                    {"percent", value.percent},
                    {"history", print_list(value.history, print_record)}};
    return text.dump();
}

std::variant<move::move_object, std::vector<core::settings_error>>
parse_move(std::string_view text)
{
    const auto parsed = settings::parse_json(text);
    if (const auto* errors = std::get_if<settings::errors>(&parsed))
        return *errors;
    settings::reader_context parse_state;
    move::move_object value;
    object_reader reader(std::get<json>(parsed), "", parse_state);
    read_move(reader, value);
    reader.report_unknown_keys();
    settings::report_duplicates(value.classes, &move::class_level::name,
                                "/classes", "name", parse_state.faults);
    settings::report_duplicates(value.arriving, &move::arriving_server::id,
                                "/arriving", "id", parse_state.faults);
    check_servers(value, parse_state.faults);
    if (!parse_state.faults.empty())
        return parse_state.faults;
    return value;
}

std::string print_lease(const leasing::lease& value)
{
    const json text{{"holder", value.holder.value()},
                    {"fencing_number", value.fencing_number}};
    return text.dump();
}

std::optional<leasing::lease> parse_lease(const std::string& text)
{
    const json parsed = json::parse(text, nullptr, false);
    try {
        return leasing::lease{
            core::instance_id(parsed.at("holder").get<std::string>()),
            parsed.at("fencing_number").get<std::uint64_t>()};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<settings::setting_description> describe_move()
{
    std::vector<settings::setting_description> catalogue;
    settings::reader_context parse_state{.faults = {},
                                         .descriptions = &catalogue};
    const json empty_object = json::object();
    object_reader reader(empty_object, "", parse_state);
    move::move_object value;
    read_move(reader, value);
    return catalogue;
}

} // namespace oriolefall::objects

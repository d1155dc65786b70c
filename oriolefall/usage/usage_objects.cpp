#include "oriolefall/usage/usage_objects.hpp"

#include "oriolefall/json_text/json_text.hpp"
#include "oriolefall/usage/usage_settings.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace oriolefall::usage {

namespace {

using json = nlohmann::json;

/// Of one region.
constexpr std::uint64_t max_sum = max_count * max_instances;
/// Longer text has more than the bounds on windows and workspaces allow.
constexpr std::size_t max_object_bytes = std::size_t{4} << 20;
/// Entries of `demand` in the object of a watcher: services by failure domain.
constexpr std::size_t max_region_demands = 4096;

namespace key {

constexpr const char* region = "region";
constexpr const char* windows = "windows";
constexpr const char* window = "window";
constexpr const char* index = "index";
constexpr const char* counts = "counts";
constexpr const char* demand = "demand";
constexpr const char* fence = "fence";
constexpr const char* settled = "settled";
constexpr const char* service = "service";
constexpr const char* failure_domain = "failure_domain";
constexpr const char* calls = "calls_milli";
constexpr const char* urgent_calls = "urgent_calls_milli";
constexpr const char* answers = "answers";
constexpr const char* late_answers = "late_answers";
constexpr const char* refused = "refused";

} // namespace key

json print_counts(const std::vector<duties::workspace_count>& counts)
{
    json value = json::object();
    for (const auto& each : counts)
        value[each.workspace.value()] = each.requests;
    return value;
}

json print_demand(const service_demand& demand)
{
    return {{key::service, demand.service.value()},
            {key::failure_domain, demand.failure_domain.value()},
            {key::calls, demand.calls_milli},
            {key::urgent_calls, demand.urgent_calls_milli},
            {key::answers, demand.answers},
            {key::late_answers, demand.late_answers},
            {key::refused, demand.refused}};
}

/// A field of an object; null if it isn't there.
const json* find(const json& object, const char* name)
{
    const auto found = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && found != object.end() ? &*found : nullptr;
}

template <class T>
bool read_number(const json& object, const char* name, T& value,
                 std::uint64_t max = std::numeric_limits<T>::max())
{
    const json* field = find(object, name);
    if (field == nullptr || !field->is_number_unsigned())
        return false;
    const auto number = field->get<std::uint64_t>();
    value = static_cast<T>(number);
    return number <= max;
}

template <class Tag>
bool read_id(const json& object, const char* name, core::strong_id<Tag>& value)
{
    const json* field = find(object, name);
    if (field == nullptr || !field->is_string())
        return false;
    value = core::strong_id<Tag>(field->get<std::string>());
    return true;
}

bool read_counts(const json& object,
                 std::vector<duties::workspace_count>& counts)
{
    const json* field = find(object, key::counts);
    // The sums of many instances may have more workspaces than one of them.
    if (field == nullptr || !field->is_object() ||
        field->size() > max_workspaces * max_update_windows)
        return false;
    for (const auto& [workspace, requests] : field->items()) {
        if (!requests.is_number_unsigned() ||
            requests.get<std::uint64_t>() > max_sum)
            return false;
        counts.push_back(
            {core::workspace_id(workspace), requests.get<std::uint64_t>()});
    }
    return true;
}

bool read_demand(const json& value, service_demand& demand)
{
    return read_id(value, key::service, demand.service) &&
           read_id(value, key::failure_domain, demand.failure_domain) &&
           read_number(value, key::calls, demand.calls_milli, max_sum) &&
           read_number(value, key::urgent_calls, demand.urgent_calls_milli,
                       max_sum) &&
           read_number(value, key::answers, demand.answers) &&
           read_number(value, key::late_answers, demand.late_answers) &&
           read_number(value, key::refused, demand.refused);
}

bool read_window(const json& value, window_counts& window)
{
    return read_number(value, key::index, window.window) &&
           read_counts(value, window.counts);
}

/// Appends the elements of an array, which `read_element` reads.
template <class T>
bool read_list(const json& object, const char* name, std::size_t max_size,
               bool (&read_element)(const json&, T&), std::vector<T>& values)
{
    const json* field = find(object, name);
    if (field == nullptr || !field->is_array() || field->size() > max_size)
        return false;
    return std::ranges::all_of(*field, [&](const json& each) {
        return read_element(each, values.emplace_back());
    });
}

std::optional<json> parse_bounded(std::string_view text)
{
    return text.size() <= max_object_bytes ? json_text::parse(text)
                                           : std::nullopt;
}

} // namespace

std::string print_region_usage(const region_usage& value)
{
    json windows = json::array();
    for (const window_counts& each : value.windows)
        windows.push_back({{key::index, each.window},
                           {key::counts, print_counts(each.counts)}});
    json demand = json::array();
    for (const service_demand& each : value.demand)
        demand.push_back(print_demand(each));
    return json_text::print({{key::region, value.region.value()},
                             {key::windows, std::move(windows)},
                             {key::demand, std::move(demand)}});
}

std::string print_usage_record(const usage_record& value)
{
    json object = {{key::fence, value.fence},
                   {key::window, value.report.window},
                   {key::counts, print_counts(value.report.counts)}};
    if (value.is_settled)
        object[key::settled] = true;
    return json_text::print(object);
}

std::optional<region_usage> parse_region_usage(std::string_view text)
{
    const auto parsed = parse_bounded(text);
    region_usage value;
    if (!parsed || !read_id(*parsed, key::region, value.region) ||
        !read_list(*parsed, key::windows, max_update_windows, read_window,
                   value.windows) ||
        !read_list(*parsed, key::demand, max_region_demands, read_demand,
                   value.demand))
        return std::nullopt;
    return value;
}

std::optional<usage_record> parse_usage_record(std::string_view text)
{
    const auto parsed = parse_bounded(text);
    usage_record value;
    if (!parsed || !read_number(*parsed, key::fence, value.fence) ||
        !read_number(*parsed, key::window, value.report.window) ||
        !read_counts(*parsed, value.report.counts))
        return std::nullopt;
    const json* settled = find(*parsed, key::settled);
    value.is_settled = settled != nullptr && *settled == json(true);
    return value;
}

} // namespace oriolefall::usage

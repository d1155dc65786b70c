#include "oriolefall/objects/wire.hpp"

#include "oriolefall/json_text/json_text.hpp"
#include "oriolefall/json_text/value_slices.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolefall::objects::wire {

namespace {

using json = nlohmann::json;

constexpr const char* write_id_key = "write_id";
constexpr const char* replaced_key = "replaced_version";

/// Parses `body` and applies `read` to it; empty when either fails.
template <class T>
std::optional<T> decode(std::string_view body,
                        const std::function<T(const json&)>& read)
{
    const auto parsed = json_text::parse(body);
    if (!parsed)
        return std::nullopt;
    try {
        return read(*parsed);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

stored_object to_stored_object(const json& from)
{
    stored_object object;
    object.path = from.at("path").get<std::string>();
    object.version = from.at("version").get<std::uint64_t>();
    json value = from.at("value");
    if (value.is_object()) {
        object.write_id = value.value(write_id_key, std::string());
        if (const auto found = value.find(replaced_key); found != value.end())
            object.replaced_version = found->get<std::uint64_t>();
        value.erase(write_id_key);
        value.erase(replaced_key);
    }
    object.value = json_text::print(value);
    return object;
}

object_change to_object_change(const json& from)
{
    object_change change;
    change.path = from.at("path").get<std::string>();
    change.version = from.at("version").get<std::uint64_t>();
    if (!from.at("value").is_null())
        change.object = to_stored_object(from);
    return change;
}

listed_instance to_listed_instance(const json& from)
{
    listed_instance instance;
    instance.id = core::instance_id(from.at("id").get<std::string>());
    instance.endpoint.address = from.at("address").get<std::string>();
    instance.endpoint.port = from.at("port").get<std::uint16_t>();
    instance.peer_port = from.value<std::uint16_t>("peer_port", 0);
    instance.location.region =
        core::region_name(from.at("region").get<std::string>());
    instance.location.failure_domain =
        core::failure_domain_name(from.at("failure_domain").get<std::string>());
    instance.leaving = from.at("state").get<std::string>() == "leaving";
    return instance;
}

template <class T>
std::vector<T> to_list(const json& from, T (*read)(const json&))
{
    std::vector<T> list;
    std::ranges::transform(from, std::back_inserter(list), read);
    return list;
}

/// Reads a revision and the elements of the array `key`, each by itself, so
/// that one which can't be read hides no other. `List`: an aggregate of both.
template <class List, class T>
std::optional<List> read_list(std::string_view body, std::string_view key,
                              T (*read)(const json&))
{
    const auto revision_text = json_text::member(body, "revision");
    const auto revision = json_text::parse_unsigned(revision_text.value_or(""));
    const auto texts = json_text::member_elements(body, key);
    if (!revision || !texts)
        return std::nullopt;
    std::vector<T> values;
    for (const std::string_view text : *texts)
        if (auto value = decode<T>(text, read))
            values.push_back(std::move(*value));
    return List{*revision, std::move(values)};
}

} // namespace

std::optional<std::string>
print_put(std::string_view value, const std::string& write_id,
          std::optional<std::uint64_t> replaced_version)
{
    json parsed = json_text::parse(value).value_or(json());
    if (!parsed.is_object() || parsed.contains(write_id_key) ||
        parsed.contains(replaced_key))
        return std::nullopt;
    parsed[write_id_key] = write_id;
    if (replaced_version)
        parsed[replaced_key] = *replaced_version;
    json body;
    body["value"] = std::move(parsed);
    return json_text::print(body);
}

std::optional<stored_object> parse_object(const std::string& body)
{
    return decode<stored_object>(body, to_stored_object);
}

std::optional<object_list> parse_list(const std::string& body)
{
    return read_list<object_list>(body, "objects", to_stored_object);
}

std::optional<object_changes> parse_changes(const std::string& body)
{
    return read_list<object_changes>(body, "events", to_object_change);
}

std::optional<std::uint64_t> parse_version(const std::string& body)
{
    return decode<std::uint64_t>(body, [](const json& from) {
        return from.at("version").get<std::uint64_t>();
    });
}

std::optional<std::vector<listed_instance>>
parse_instances(const std::string& body)
{
    return decode<std::vector<listed_instance>>(body, [](const json& from) {
        return to_list(from.at("instances"), to_listed_instance);
    });
}

std::string print_instance(const listed_instance& instance)
{
    const json body{
        {"id", instance.id.value()},
        {"address", instance.endpoint.address},
        {"port", instance.endpoint.port},
        {"peer_port", instance.peer_port},
        {"region", instance.location.region.value()},
        {"failure_domain", instance.location.failure_domain.value()},
        {"state", instance.leaving ? "leaving" : "live"}};
    return json_text::print(body);
}

} // namespace oriolefall::objects::wire

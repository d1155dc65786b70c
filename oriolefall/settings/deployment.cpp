#include "oriolefall/settings/deployment.hpp"

#include "oriolefall/settings/deployment_reader.hpp"

namespace oriolefall::settings {

std::variant<deployment, std::vector<core::settings_error>>
parse_deployment(std::string_view text)
{
    const auto parsed = parse_json(text);
    if (const auto* faults = std::get_if<errors>(&parsed))
        return *faults;
    return detail::parse_deployment(std::get<nlohmann::json>(parsed));
}

std::vector<setting_description> describe_deployment()
{
    std::vector<setting_description> descriptions;
    reader_context context{.faults = {}, .descriptions = &descriptions};
    const nlohmann::json empty_object = nlohmann::json::object();
    object_reader reader(empty_object, "", context);
    deployment value;
    detail::read_deployment(reader, value);
    return descriptions;
}

decision::routing_table make_routing_table(const deployment& source,
                                           std::uint64_t version)
{
    decision::routing_table table;
    table.version = version;
    table.classes = source.classes;
    table.servers = source.backend_servers;
    return table;
}

} // namespace oriolefall::settings

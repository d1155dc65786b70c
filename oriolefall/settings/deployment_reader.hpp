#ifndef ORIOLEFALL_SETTINGS_DEPLOYMENT_READER_HPP
#define ORIOLEFALL_SETTINGS_DEPLOYMENT_READER_HPP

#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/object_reader.hpp"

namespace oriolefall::settings::detail {

/// Reads a deployment into `result` without checks across settings.
void read_deployment(object_reader& reader, deployment& result);

/// Reports duplicate names, references to names that `value` does not define
/// and minimum shares whose sum exceeds 1.
void check_deployment(const deployment& value, errors& faults);

/// Reads and checks a deployment from parsed JSON.
[[nodiscard]] std::variant<deployment, errors>
parse_deployment(const nlohmann::json& parsed);

} // namespace oriolefall::settings::detail

#endif

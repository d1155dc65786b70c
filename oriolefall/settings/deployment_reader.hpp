#ifndef ORIOLEFALL_SETTINGS_DEPLOYMENT_READER_HPP
#define ORIOLEFALL_SETTINGS_DEPLOYMENT_READER_HPP

#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/object_reader.hpp"

namespace oriolefall::settings::detail {

/// Fills `into` with what stands in the text; no check across settings.
void read_deployment(object_reader& reader, deployment& into);

/// Notes duplicate names and names that nothing in `value` has.
void check_deployment(const deployment& value, errors& faults);

/// Both of the above, for JSON that was parsed already.
[[nodiscard]] std::variant<deployment, errors>
parse_deployment(const nlohmann::json& parsed);

} // namespace oriolefall::settings::detail

#endif

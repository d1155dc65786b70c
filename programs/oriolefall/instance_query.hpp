#ifndef ORIOLEFALL_PROGRAMS_INSTANCE_QUERY_HPP
#define ORIOLEFALL_PROGRAMS_INSTANCE_QUERY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "programs/oriolefall/command_line.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace oriolefall::programs {

/// Adds the option `--address`, the endpoint of the instance to query.
void add_address_option(command_line& line);

/// The endpoint given by `--address`. An invalid one is reported on standard
/// error under the name `command`.
[[nodiscard]] std::variant<core::endpoint, early_exit>
parse_address(const boost::program_options::variables_map& values,
              const std::string& command);

/// Sends a GET request for `path` to an instance and prints the answer on
/// standard output. A failure prints one line on standard error, under the name
/// `command`. Returns the exit status.
int query_and_print(const core::endpoint& instance, const std::string& path,
                    const std::string& command);

/// Percent-encodes all but the unreserved characters of `text`, for the query
/// of a URL.
[[nodiscard]] std::string percent_encode(std::string_view text);

} // namespace oriolefall::programs

#endif

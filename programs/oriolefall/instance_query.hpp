#ifndef ORIOLEFALL_PROGRAMS_INSTANCE_QUERY_HPP
#define ORIOLEFALL_PROGRAMS_INSTANCE_QUERY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "programs/oriolefall/command_line.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace oriolefall::programs {

/// Adds the option `--address` for the instance that is asked.
void add_address_option(command_line& line);

/// The instance named by `--address`; `command` is named in the fault.
[[nodiscard]] std::variant<core::endpoint, ended>
address_of(const boost::program_options::variables_map& values,
           const std::string& command);

/// Asks an instance for `path` and prints its answer on standard output.
/// Gives the exit status; a fault is told in one line on standard error.
int print_answer(const core::endpoint& instance, const std::string& path,
                 const std::string& command);

/// `text` with all but unreserved characters escaped, for a query.
[[nodiscard]] std::string escape_query(std::string_view text);

} // namespace oriolefall::programs

#endif

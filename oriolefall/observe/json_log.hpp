#ifndef ORIOLEFALL_OBSERVE_JSON_LOG_HPP
#define ORIOLEFALL_OBSERVE_JSON_LOG_HPP

#include "oriolefall/observe/record.hpp"

#include <string>

namespace oriolefall::observe {

/// Sends log lines of `lowest` and above to standard error. Call once, before
/// other threads start.
void set_up_log(log_level lowest);

/// Writes one JSON line: `members` are the inner members of a JSON object,
/// such as `"source":"peer"`. Any thread.
void write_log(log_level level, const std::string& members);

/// The line's members for a note and for the end of a request.
[[nodiscard]] std::string log_members(const log_note& note);
[[nodiscard]] std::string log_members(const request_finished& end);

} // namespace oriolefall::observe

#endif

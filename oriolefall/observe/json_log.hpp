#ifndef ORIOLEFALL_OBSERVE_JSON_LOG_HPP
#define ORIOLEFALL_OBSERVE_JSON_LOG_HPP

#include "oriolefall/observe/record.hpp"

#include <string>

namespace oriolefall::observe {

/// Sets up logging to standard error for levels from `min_level` up. Must be
/// called once, before other threads start.
void set_up_log(log_level min_level);

/// Writes one JSON object as a line, with the time, the level and `members`:
/// the text of further members, such as `"source":"peer"`. Thread-safe.
void write_log(log_level level, const std::string& members);

/// The `members` of `write_log` for a log entry or the end of a request.
[[nodiscard]] std::string log_members(const log_entry& entry);
[[nodiscard]] std::string log_members(const request_finished& end);

} // namespace oriolefall::observe

#endif

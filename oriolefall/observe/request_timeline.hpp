#ifndef ORIOLEFALL_OBSERVE_REQUEST_TIMELINE_HPP
#define ORIOLEFALL_OBSERVE_REQUEST_TIMELINE_HPP

#include <compare>
#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace oriolefall::observe {

/// One line of an instance's log.
struct log_line
{
    /// Wall-clock time as written; determines the order of all lines.
    std::string at;
    std::string instance;
    std::string event;
    /// The other fields in their order, as "name=value", separated by spaces.
    std::string fields;
    /// The caller's request id (log field "attempt"); empty for lines that are
    /// not about a request.
    std::string caller_request_id;
    std::string outcome;
    std::string server;
    auto operator<=>(const log_line&) const = default;
};

/// The history of one request, from the logs of any number of instances.
struct request_timeline
{
    /// Decisions on the request and state changes of the instances that
    /// handled it, after their last states before it. Ordered by time, but for
    /// these earlier states, which come first.
    std::vector<log_line> lines;
    /// What the logs do not show, in one sentence each.
    std::vector<std::string> missing;
    /// Number of lines that could not be parsed.
    std::size_t unreadable_lines = 0;
    auto operator<=>(const request_timeline&) const = default;
};

/// Reads log lines in any order and returns the timeline of the request with
/// the caller's id `caller_request_id`.
[[nodiscard]] request_timeline
find_request_timeline(std::istream& logs, const std::string& caller_request_id);
/// Formats a timeline as text for operators.
[[nodiscard]] std::string format_timeline(const request_timeline& timeline);

} // namespace oriolefall::observe

#endif

#ifndef ORIOLEFALL_OBSERVE_LOG_PATH_HPP
#define ORIOLEFALL_OBSERVE_LOG_PATH_HPP

#include <compare>
#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace oriolefall::observe {

/// One line of an instance's log.
struct log_line
{
    /// Time of day, as written; orders lines of all instances.
    std::string at;
    std::string instance;
    std::string event;
    /// The other fields in their order, as "name=value", separated by blanks.
    std::string fields;
    /// The caller's name of the request; empty for other lines.
    std::string attempt;
    std::string outcome;
    std::string server;
    auto operator<=>(const log_line&) const = default;
};

/// What the logs of any number of instances tell of one request.
struct log_path
{
    /// Its decisions and what its instances came to believe around it, in the
    /// order of time.
    std::vector<log_line> lines;
    /// What can't be told from these logs, a sentence each.
    std::vector<std::string> missing;
    /// Lines that are no log lines.
    std::size_t unreadable = 0;
    auto operator<=>(const log_path&) const = default;
};

/// Reads lines of logs in any order and finds the path of the request that the
/// caller named `attempt`.
[[nodiscard]] log_path find_log_path(std::istream& logs,
                                     const std::string& attempt);
/// For people to read.
[[nodiscard]] std::string print(const log_path& path);

} // namespace oriolefall::observe

#endif

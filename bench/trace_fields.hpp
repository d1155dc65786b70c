#ifndef ORIOLEFALL_BENCH_TRACE_FIELDS_HPP
#define ORIOLEFALL_BENCH_TRACE_FIELDS_HPP

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// Reads the members of one JSON object by name and keeps the first fault:
/// a missing or unknown member, a wrong type, a number out of range.
class trace_fields
{
public:
    /// `what` names the object in messages, such as "arrival".
    trace_fields(const nlohmann::json& object, std::string what);

    [[nodiscard]] bool has(const std::string& name) const;
    [[nodiscard]] std::string text(const std::string& name);
    [[nodiscard]] std::string text_or(const std::string& name,
                                      const std::string& fallback);
    [[nodiscard]] double number(const std::string& name, double least,
                                double most);
    [[nodiscard]] double number_or(const std::string& name, double fallback,
                                   double least, double most);
    [[nodiscard]] std::uint32_t count(const std::string& name);
    [[nodiscard]] std::uint32_t count_or(const std::string& name,
                                         std::uint32_t fallback);
    [[nodiscard]] bool flag_or(const std::string& name, bool fallback);
    /// A time or length of time in milliseconds, 0 or more.
    [[nodiscard]] absl::Duration milliseconds(const std::string& name);
    [[nodiscard]] absl::Duration milliseconds_or(const std::string& name,
                                                 absl::Duration fallback);
    [[nodiscard]] std::vector<std::string> texts(const std::string& name);
    /// The list `name`, an empty one where it is missing or no list.
    [[nodiscard]] nlohmann::json list(const std::string& name);
    /// The object `name`, an empty one where it is missing.
    [[nodiscard]] nlohmann::json object_or_empty(const std::string& name);

    void fail(const std::string& message);
    /// Empty when nothing was wrong; also looks for unknown members.
    [[nodiscard]] std::string error();

private:
    [[nodiscard]] const nlohmann::json* find(const std::string& name);
    [[nodiscard]] const nlohmann::json* require(const std::string& name);

    const nlohmann::json& object_;
    std::string what_;
    std::set<std::string> known_;
    std::string error_;
};

} // namespace oriolefall::bench

#endif

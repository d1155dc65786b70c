#ifndef ORIOLEFALL_OBJECTS_WIRE_HPP
#define ORIOLEFALL_OBJECTS_WIRE_HPP

#include "oriolefall/objects/object.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Encoding and decoding of the platform's JSON, which is internal to this
/// package. Thread-safe.
namespace oriolefall::objects::wire {

/// Body of a put. `value` must be the text of a JSON object without the keys
/// that the client adds; otherwise the result is empty.
[[nodiscard]] std::optional<std::string>
print_put(std::string_view value, const std::string& write_id,
          std::optional<std::uint64_t> replaced_version);

[[nodiscard]] std::optional<stored_object>
parse_object(const std::string& body);
[[nodiscard]] std::optional<object_list> parse_list(const std::string& body);
[[nodiscard]] std::optional<object_changes>
parse_changes(const std::string& body);
[[nodiscard]] std::optional<std::uint64_t>
parse_version(const std::string& body);
[[nodiscard]] std::optional<std::vector<listed_instance>>
parse_instances(const std::string& body);
[[nodiscard]] std::string print_instance(const listed_instance& instance);

} // namespace oriolefall::objects::wire

#endif

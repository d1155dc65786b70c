#ifndef ORIOLEFALL_STAND_INS_PLATFORM_CODEC_HPP
#define ORIOLEFALL_STAND_INS_PLATFORM_CODEC_HPP

#include "stand_ins/engine_codec.hpp"
#include "stand_ins/platform_messages.hpp"

#include <functional>
#include <httplib.h>
#include <string>
#include <variant>

namespace oriolefall::stand_ins {

using platform_fault_change = std::function<void(platform_faults&)>;

/// A value beyond the size that the platform holds.
struct value_too_large
{
    std::strong_ordering operator<=>(const value_too_large&) const = default;
};

using parsed_write = std::variant<write_object, value_too_large, body_error>;

/// All of these may be called from any thread.
[[nodiscard]] parsed_write parse_write(const httplib::Request& request,
                                       const std::string& path);
[[nodiscard]] write_object parse_erase(const httplib::Request& request,
                                       const std::string& path);
[[nodiscard]] watch_objects parse_watch(const httplib::Request& request);
[[nodiscard]] std::variant<tell_instance, body_error>
parse_instance(const std::string& body, const std::string& id);
[[nodiscard]] std::variant<platform_fault_change, body_error>
parse_platform_faults(const std::string& body);

/// Writes the reply of a call that gets one.
void set_reply(httplib::Response& response, const platform_reply& reply);
[[nodiscard]] nlohmann::json to_json(const platform_faults& faults);
[[nodiscard]] nlohmann::json to_json(const platform_stats& stats);

} // namespace oriolefall::stand_ins

#endif

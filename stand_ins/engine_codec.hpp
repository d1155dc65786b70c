#ifndef ORIOLEFALL_STAND_INS_ENGINE_CODEC_HPP
#define ORIOLEFALL_STAND_INS_ENGINE_CODEC_HPP

#include "stand_ins/engine_messages.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

namespace oriolefall::stand_ins {

/// A body that is not what the contract says.
struct body_error
{
    std::string message;
    std::strong_ordering operator<=>(const body_error&) const = default;
};

/// A decoded request for an answer.
struct generation_request
{
    generation_order order;
    std::uint64_t seed = 0;
    bool stream = false;
    /// The answer ends at the caller's limit, not by itself.
    bool limited = false;
    std::strong_ordering operator<=>(const generation_request&) const = default;
};

using fault_change = std::function<void(engine_faults&)>;

/// All of these may be called from any thread.
[[nodiscard]] std::variant<generation_request, body_error>
parse_generation(const httplib::Request& request);
[[nodiscard]] std::variant<model_order, body_error>
parse_order(const std::string& body);
[[nodiscard]] std::variant<fault_change, body_error>
parse_engine_faults(const std::string& body);

[[nodiscard]] std::string token_event(std::uint32_t index,
                                      std::string_view text);
/// The last event of a whole stream.
[[nodiscard]] std::string end_events(bool limited);
[[nodiscard]] std::string whole_answer(const generation_request& request,
                                       std::string_view text);
[[nodiscard]] nlohmann::json to_json(const engine_load& load);
[[nodiscard]] nlohmann::json to_json(const engine_stats& stats);
[[nodiscard]] nlohmann::json to_json(const model_list& models);
[[nodiscard]] nlohmann::json to_json(const engine_faults& faults);
void set_load_headers(httplib::Response& response, const engine_load& load);

} // namespace oriolefall::stand_ins

#endif

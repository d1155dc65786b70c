#ifndef ORIOLEFALL_TESTS_SYSTEM_FLEET_HEADERS_HPP
#define ORIOLEFALL_TESTS_SYSTEM_FLEET_HEADERS_HPP

#include "bench/load_call.hpp"
#include "bench/local_fleet.hpp"
#include "bench/trace.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oriolefall::tests {

/// Folder of the programs under test.
[[nodiscard]] std::string build_folder();

/// A header with the classes `answer` (a model engine), `booking` (a plain
/// service, at most once), `short-booking` (the same with a deadline of a
/// second) and `lookup` (a plain service), the workspace `club` and no backend
/// servers.
[[nodiscard]] bench::trace_header plain_header();

/// A quick engine that serves the model `assistant`.
[[nodiscard]] bench::trace_server quick_engine(const std::string& id,
                                               std::uint32_t slots);

/// A plain service that answers `booking` and `lookup`.
[[nodiscard]] bench::trace_server plain_service(const std::string& id);

/// Settings of a fleet of `instances` in front of `header`.
[[nodiscard]] bench::local_fleet_settings
fleet_of(const bench::trace_header& header, std::size_t instances);

/// A caller's question to the model `assistant`.
[[nodiscard]] bench::load_request question(const std::string& text,
                                           std::uint32_t output_tokens);

/// A call of the plain service with an idempotency key.
[[nodiscard]] bench::load_request booking(const std::string& key);

/// The whole answer that any engine gives to `request`.
[[nodiscard]] std::string whole_text(const bench::load_request& request);

/// Called when a request of this number gets its first token.
using answered_hook = std::function<void(std::size_t)>;

/// Sends all at the same time and waits for all; outcomes in their order.
[[nodiscard]] std::vector<bench::load_outcome>
send_all(const core::endpoint& to,
         const std::vector<bench::load_request>& requests,
         const answered_hook& on_first_token = {});

/// Switches faults of a stand-in on; false when it does not answer.
bool set_faults(const core::endpoint& stand_in, const std::string& faults);

} // namespace oriolefall::tests

#endif

#ifndef ORIOLEFALL_TESTS_SYSTEM_FLEET_HEADERS_HPP
#define ORIOLEFALL_TESTS_SYSTEM_FLEET_HEADERS_HPP

#include "bench/local_fleet.hpp"
#include "bench/trace.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace oriolefall::tests {

/// Folder of the programs under test.
[[nodiscard]] std::string build_folder();

/// A header with the classes `answer` (a model engine), `booking` (a plain
/// service, at most once) and `lookup` (a plain service), the workspace
/// `club` and no backend servers.
[[nodiscard]] bench::trace_header plain_header();

/// A quick engine that serves the model `assistant`.
[[nodiscard]] bench::trace_server quick_engine(const std::string& id,
                                               std::uint32_t slots);

/// A plain service that answers `booking` and `lookup`.
[[nodiscard]] bench::trace_server plain_service(const std::string& id);

/// Settings of a fleet of `instances` in front of `header`.
[[nodiscard]] bench::local_fleet_settings
fleet_of(const bench::trace_header& header, std::size_t instances);

} // namespace oriolefall::tests

#endif

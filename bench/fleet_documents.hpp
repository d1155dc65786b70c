#ifndef ORIOLEFALL_BENCH_FLEET_DOCUMENTS_HPP
#define ORIOLEFALL_BENCH_FLEET_DOCUMENTS_HPP

#include "bench/trace.hpp"
#include "oriolefall/core/backend_server.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// What differs between the entry instances of a local fleet.
struct local_instance
{
    std::string id;
    core::location location;
    std::optional<core::endpoint> platform;
    /// Where others hear it; port 0 takes a free one.
    core::endpoint peer_listen{"127.0.0.1", 0};
    std::vector<core::endpoint> peers;
    std::size_t max_connections = 1024;
    std::size_t backend_lanes = 256;
    absl::Duration address_lifetime = absl::Seconds(1);
    std::strong_ordering operator<=>(const local_instance&) const = default;
};

/// The deployment settings that say what the header of a trace says. The
/// servers' endpoints are those of the running stand-ins.
[[nodiscard]] std::string print_deployment(const trace_header& header);

/// The settings of one instance that listens on a free port of loopback.
[[nodiscard]] std::string print_instance(const local_instance& instance);

} // namespace oriolefall::bench

#endif

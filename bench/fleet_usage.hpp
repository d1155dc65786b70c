#ifndef ORIOLEFALL_BENCH_FLEET_USAGE_HPP
#define ORIOLEFALL_BENCH_FLEET_USAGE_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// Processor time that the running threads of this process with one of these
/// names have used so far.
[[nodiscard]] absl::Duration
cpu_time_of(const std::vector<std::string>& thread_names);

/// Memory of this process that is in use, in bytes.
[[nodiscard]] std::uint64_t resident_bytes();

} // namespace oriolefall::bench

#endif

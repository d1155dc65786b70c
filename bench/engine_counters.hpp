#ifndef ORIOLEFALL_BENCH_ENGINE_COUNTERS_HPP
#define ORIOLEFALL_BENCH_ENGINE_COUNTERS_HPP

#include "bench/load_report.hpp"
#include "oriolefall/core/backend_server.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace oriolefall::bench {

/// The counters of a stand-in; nothing when it does not answer. Any thread.
[[nodiscard]] std::optional<nlohmann::json>
read_stats(const core::endpoint& stand_in);

/// What these engines have computed since their start. Any thread.
[[nodiscard]] engine_work
read_engine_work(const std::vector<core::endpoint>& engines);

/// What was computed between two readings.
[[nodiscard]] engine_work operator-(const engine_work& later,
                                    const engine_work& earlier);

} // namespace oriolefall::bench

#endif

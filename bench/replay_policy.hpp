#ifndef ORIOLEFALL_BENCH_REPLAY_POLICY_HPP
#define ORIOLEFALL_BENCH_REPLAY_POLICY_HPP

#include "bench/trace.hpp"
#include "oriolefall/decision/action.hpp"
#include "oriolefall/decision/event.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// A policy under replay: the same events and actions as the decisions.
struct replay_policy
{
    std::function<void(absl::Time, const decision::event&,
                       std::vector<decision::action>&)>
        step;
    std::function<absl::Time()> next_tick;
};

/// The names that `make_policy` knows.
[[nodiscard]] std::vector<std::string> policy_names();

/// A policy by its name for one run; nothing for an unknown name.
[[nodiscard]] std::optional<replay_policy>
make_policy(const std::string& name, const trace_header& header,
            std::uint64_t seed);

} // namespace oriolefall::bench

#endif

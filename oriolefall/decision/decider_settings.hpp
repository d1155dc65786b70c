#ifndef ORIOLEFALL_DECISION_DECIDER_SETTINGS_HPP
#define ORIOLEFALL_DECISION_DECIDER_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"

#include <cstdint>

namespace oriolefall::decision {

/// What is fixed for the life of a `decider`.
struct decider_settings
{
    /// Where this instance stands; servers of its region go first.
    core::location location;
    /// Seed of the random choices; equal seeds give equal decisions.
    std::uint64_t seed = 1;
};

} // namespace oriolefall::decision

#endif

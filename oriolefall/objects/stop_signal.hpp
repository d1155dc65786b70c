#ifndef ORIOLEFALL_OBJECTS_STOP_SIGNAL_HPP
#define ORIOLEFALL_OBJECTS_STOP_SIGNAL_HPP

#include "oriolefall/core/bounded_ring.hpp"

#include <absl/time/time.h>

#include <chrono>

namespace oriolefall::objects {

/// Lets a thread sleep for a time and another thread end that sleep and all
/// later ones. Thread-safe.
class stop_signal
{
public:
    /// Ends the current and every later wait.
    void stop()
    {
        ring_.close();
    }

    /// Waits for `duration`. Returns false when stopped.
    [[nodiscard]] bool wait(absl::Duration duration)
    {
        const auto deadline = std::chrono::steady_clock::now() +
                              absl::ToChronoNanoseconds(duration);
        const auto result = ring_.pop_until(deadline);
        return !std::holds_alternative<core::ring_closed>(result);
    }

private:
    struct no_value
    {
    };
    /// Always empty: a wait ends at its deadline or when the ring is closed.
    core::bounded_ring<no_value> ring_{1};
};

} // namespace oriolefall::objects

#endif

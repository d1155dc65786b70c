#ifndef ORIOLEFALL_OBJECTS_STOP_SIGNAL_HPP
#define ORIOLEFALL_OBJECTS_STOP_SIGNAL_HPP

#include "oriolefall/core/bounded_ring.hpp"

#include <absl/time/time.h>

#include <chrono>

namespace oriolefall::objects {

/// Lets a thread wait for a time and another one end that wait for good. Any
/// thread.
class stop_signal
{
public:
    /// Ends every wait, now and later.
    void stop()
    {
        ring_.close();
    }

    /// Waits for `duration`. False when stopped.
    [[nodiscard]] bool wait(absl::Duration duration)
    {
        const auto until = std::chrono::steady_clock::now() +
                           absl::ToChronoNanoseconds(duration);
        const auto result = ring_.pop_until(until);
        return !std::holds_alternative<core::ring_closed>(result);
    }

private:
    struct nothing
    {
    };
    core::bounded_ring<nothing> ring_{1};
};

} // namespace oriolefall::objects

#endif

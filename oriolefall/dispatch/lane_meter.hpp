#ifndef ORIOLEFALL_DISPATCH_LANE_METER_HPP
#define ORIOLEFALL_DISPATCH_LANE_METER_HPP

#include <absl/time/time.h>

#include <cstdint>

namespace oriolefall::dispatch {

/// What this instance sends of one lane: calls under way, and prompt tokens
/// to read in a second, averaged over the last seconds. One thread.
class lane_meter
{
public:
    void note_arrival(absl::Time now, std::uint32_t tokens_to_read);
    void note_sent();
    void note_ended();
    [[nodiscard]] double tokens_per_s(absl::Time now) const;
    [[nodiscard]] std::uint32_t calls() const;

private:
    double tokens_per_s_ = 0;
    absl::Time at_ = absl::InfinitePast();
    std::uint32_t calls_ = 0;
};

} // namespace oriolefall::dispatch

#endif

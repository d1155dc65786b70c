#ifndef ORIOLEFALL_DISPATCH_HOT_PROMPTS_HPP
#define ORIOLEFALL_DISPATCH_HOT_PROMPTS_HPP

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace oriolefall::dispatch {

/// Recent shares of the requests for one service by the key of their shared
/// prompt part. Holds a bounded number of keys; the rarest one gives way to a
/// new one. Not thread-safe.
class hot_prompts
{
public:
    /// Records a request with this shared part; 0 if it has none.
    void record(absl::Time now, std::uint64_t key);
    /// Share of the recent requests; 0 while there are too few to tell.
    [[nodiscard]] double share_of(std::uint64_t key) const;
    [[nodiscard]] std::size_t size() const;

private:
    void decay(absl::Time now);
    void make_room();

    absl::flat_hash_map<std::uint64_t, double> counts_;
    double total_ = 0;
    absl::Time decayed_at_ = absl::InfinitePast();
};

/// Number of engines that a shared part is spread over: its share of the calls
/// at the service, divided by those that one engine takes well. At least 1.
[[nodiscard]] std::size_t spread_of_part(double share, double calls,
                                         double mean_call_limit);

} // namespace oriolefall::dispatch

#endif

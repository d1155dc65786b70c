#ifndef ORIOLEFALL_BENCH_DECIDER_LOAD_HPP
#define ORIOLEFALL_BENCH_DECIDER_LOAD_HPP

#include "oriolefall/decision/decider.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace oriolefall::bench {

/// Drives a decider as a busy fleet would: requests of 320 workspaces, 3
/// tiers and 8 models, streamed answers, load reports.
class decider_load
{
public:
    /// `servers`: engines of the fleet.
    explicit decider_load(std::size_t servers);

    /// One request arrives.
    void arrive();
    /// Tokens of one open call come.
    void progress();
    /// The oldest call ends and its answer is whole.
    void end();
    void report();

    [[nodiscard]] std::size_t open_calls() const
    {
        return calls_.size();
    }
    [[nodiscard]] std::size_t open_requests() const
    {
        return subject_.open_requests();
    }

private:
    struct running_call
    {
        core::call_id call;
        std::uint64_t tokens = 0;
    };

    void give(const decision::event& event);

    std::size_t servers_;
    decision::decider subject_;
    absl::Time now_ = absl::UnixEpoch();
    std::vector<decision::action> out_;
    std::deque<running_call> calls_;
    std::uint64_t next_request_ = 1;
    std::size_t next_progress_ = 0;
    std::mt19937_64 random_;
};

} // namespace oriolefall::bench

#endif

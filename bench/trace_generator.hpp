#ifndef ORIOLEFALL_BENCH_TRACE_GENERATOR_HPP
#define ORIOLEFALL_BENCH_TRACE_GENERATOR_HPP

#include "bench/trace.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// The traffic of one class over a stretch of time.
struct class_traffic
{
    std::string service_class;
    /// Empty for a plain service.
    std::string model = {};
    absl::Duration from;
    absl::Duration until;
    /// Arrivals a second, in a Poisson process.
    double rate = 1.0;
    std::uint32_t prompt_tokens = 0;
    /// Mean answer length; lengths are lognormal.
    double output_tokens = 0.0;
    /// Part of the prompt that is one of the workspace's heads.
    double prefix_part = 0.0;
    /// Mean time after which a caller that sees nothing leaves; infinite for
    /// those who stay. One that is being answered stays for its answer.
    absl::Duration patience = absl::InfiniteDuration();
    /// Relative weight of each workspace; all are equal where empty.
    std::vector<double> weights = {};
    /// Requests carry an idempotency key.
    bool keyed = false;
    /// Part of keyed requests that the caller sends a second time.
    double repeated = 0.0;
};

/// Draws arrivals for a trace; equal seeds give equal arrivals.
class trace_generator
{
public:
    trace_generator(trace_header header, std::uint64_t seed);

    void add(const class_traffic& traffic);
    void add(const trace_fault& fault);
    [[nodiscard]] trace finish();

private:
    [[nodiscard]] trace_arrival draw(const class_traffic& traffic,
                                     absl::Duration at);
    [[nodiscard]] std::uint32_t draw_length(double mean);

    trace trace_;
    std::mt19937_64 random_;
    std::uint64_t next_key_ = 1;
};

/// A named trace of those under traces/.
struct named_trace
{
    std::string file;
    trace content;
};

/// The traces that are kept under traces/.
[[nodiscard]] std::vector<named_trace> standard_traces();

} // namespace oriolefall::bench

#endif

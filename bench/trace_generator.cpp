#include "bench/trace_generator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolefall::bench {

namespace {

/// Spread of the lognormal answer lengths.
constexpr double length_sigma = 0.6;
constexpr std::uint32_t most_tokens = 4000;
constexpr int heads_per_workspace = 4;
/// Longest time that a caller spends on a token of its answer, in seconds.
constexpr double reading_time_s = 0.04;
/// Part of the callers that leave in the middle of an answer.
constexpr double leave_in_answer = 0.015;
/// A caller that repeats does so after this time.
constexpr absl::Duration repeat_after = absl::Milliseconds(1500);

absl::Duration rounded(double seconds)
{
    return absl::Milliseconds(std::llround(seconds * 1e3));
}

} // namespace

trace_generator::trace_generator(trace_header header, std::uint64_t seed)
    : random_(seed)
{
    trace_.header = std::move(header);
}

void trace_generator::add(const class_traffic& traffic)
{
    std::exponential_distribution<double> gap(traffic.rate);
    const double end = absl::ToDoubleSeconds(traffic.until);
    double at = absl::ToDoubleSeconds(traffic.from) + gap(random_);
    while (at < end) {
        trace_arrival arrival = draw(traffic, rounded(at));
        std::bernoulli_distribution repeats(traffic.repeated);
        if (traffic.keyed && repeats(random_)) {
            trace_arrival second = arrival;
            second.at += repeat_after;
            trace_.arrivals.push_back(std::move(second));
        }
        trace_.arrivals.push_back(std::move(arrival));
        at += gap(random_);
    }
}

void trace_generator::add(const trace_fault& fault)
{
    trace_.faults.push_back(fault);
}

trace trace_generator::finish()
{
    std::ranges::stable_sort(trace_.arrivals, {}, &trace_arrival::at);
    std::ranges::stable_sort(trace_.faults, {}, &trace_fault::at);
    return std::move(trace_);
}

trace_arrival trace_generator::draw(const class_traffic& traffic,
                                    absl::Duration at)
{
    const auto& workspaces = trace_.header.workspaces;
    std::vector<double> weights = traffic.weights;
    weights.resize(workspaces.size(), traffic.weights.empty() ? 1.0 : 0.0);
    std::discrete_distribution<std::size_t> choice(weights.begin(),
                                                   weights.end());
    trace_arrival arrival;
    arrival.at = at;
    arrival.service_class = core::class_name(traffic.service_class);
    arrival.workspace = workspaces[choice(random_)];
    arrival.model = core::model_name(traffic.model);
    arrival.prompt_tokens = traffic.prompt_tokens;
    arrival.body_bytes =
        traffic.model.empty() ? 300 : 4 * traffic.prompt_tokens;
    if (traffic.output_tokens > 0.0)
        arrival.output_tokens = draw_length(traffic.output_tokens);
    if (traffic.prefix_part > 0.0) {
        std::uniform_int_distribution<int> head(1, heads_per_workspace);
        arrival.prefix =
            arrival.workspace.value() + '-' + std::to_string(head(random_));
        arrival.prefix_tokens = static_cast<std::uint32_t>(
            traffic.prefix_part * traffic.prompt_tokens);
    }
    if (traffic.patience < absl::InfiniteDuration()) {
        std::exponential_distribution<double> more(1.0);
        const double mean = absl::ToDoubleSeconds(traffic.patience);
        const double waits = mean * (0.5 + 0.5 * more(random_));
        const double reads = arrival.output_tokens * reading_time_s;
        std::bernoulli_distribution leaves(leave_in_answer);
        std::uniform_real_distribution<double> part(0.0, 1.0);
        arrival.gone_at = at + rounded(leaves(random_) ? reads * part(random_)
                                                       : waits + reads);
    }
    if (traffic.keyed)
        arrival.key =
            core::idempotency_key("key-" + std::to_string(next_key_++));
    return arrival;
}

std::uint32_t trace_generator::draw_length(double mean)
{
    const double location = std::log(mean) - length_sigma * length_sigma / 2.0;
    std::lognormal_distribution<double> length(location, length_sigma);
    const double drawn = std::round(length(random_));
    return static_cast<std::uint32_t>(
        std::clamp<double>(drawn, 1.0, most_tokens));
}

} // namespace oriolefall::bench

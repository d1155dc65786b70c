#include "bench/load_runner.hpp"

#include "bench/address_book.hpp"
#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/concat.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

namespace oriolefall::bench {

namespace {

constexpr std::size_t bytes_per_token = 4;

/// An arrival on its way to a caller.
struct load_job
{
    std::size_t arrival = 0;
    absl::Time due;
    load_request request;
    /// Best first.
    std::vector<core::endpoint> addresses;
};

using job_ring = core::bounded_ring<load_job>;
using sample_ring = core::bounded_ring<load_sample>;

bool never_connected(const load_outcome& outcome)
{
    return outcome.ending == load_ending::cut && outcome.status == 0;
}

/// Uses the next address when one cannot be reached, as callers do. A request
/// that may not be repeated is sent once.
load_outcome send_to_any(const load_job& job)
{
    load_outcome outcome;
    for (const core::endpoint& address : job.addresses) {
        outcome = send_load(address, job.request, job.due);
        if (!never_connected(outcome) || job.request.key)
            return outcome;
    }
    return outcome;
}

void work(job_ring& jobs, sample_ring& samples)
{
    while (const auto job = jobs.pop())
        samples.push({job->arrival, send_to_any(*job)});
}

/// Text of about so many tokens that begins with the arrival's prefix.
std::string make_prompt(const trace_arrival& arrival, std::size_t number)
{
    std::string prompt;
    const std::size_t head = arrival.prefix_tokens * bytes_per_token;
    while (prompt.size() < head)
        prompt += arrival.prefix + " ";
    prompt.resize(head);
    prompt += core::concat(" question ", number, " ");
    const std::size_t whole = arrival.prompt_tokens * bytes_per_token;
    if (prompt.size() < whole)
        prompt.resize(whole, '.');
    return prompt;
}

} // namespace

load_request to_load_request(const trace& replayed, std::size_t number,
                             double speed)
{
    const trace_arrival& arrival = replayed.arrivals.at(number);
    const auto asked =
        std::ranges::find(replayed.header.classes, arrival.service_class,
                          &core::service_class::name);
    load_request request;
    request.service_class = arrival.service_class;
    request.workspace = arrival.workspace;
    request.kind = asked->kind;
    request.model = arrival.model;
    request.key = arrival.key;
    request.prompt = make_prompt(arrival, number);
    request.max_tokens = arrival.max_tokens;
    request.output_tokens = arrival.output_tokens;
    request.gone_after = (arrival.gone_at - arrival.at) / speed;
    return request;
}

std::vector<load_sample> run_load(const load_settings& settings,
                                  const trace& replayed)
{
    const std::size_t count = replayed.arrivals.size();
    const std::size_t callers = std::min(settings.callers, count);
    job_ring jobs(std::max<std::size_t>(count, 1));
    sample_ring samples(std::max<std::size_t>(count, 1));
    std::vector<core::duty_thread> threads;
    for (std::size_t i = 0; i < callers; ++i)
        threads.emplace_back("caller", [&] { work(jobs, samples); });
    address_book addresses(settings.entries);
    const absl::Time start = core::monotonic_now();
    for (std::size_t i = 0; i < count; ++i) {
        const trace_arrival& arrival = replayed.arrivals[i];
        const absl::Time due = start + arrival.at / settings.speed;
        std::this_thread::sleep_until(core::to_steady(due));
        jobs.push({i, due, to_load_request(replayed, i, settings.speed),
                   addresses.find(arrival.workspace, core::monotonic_now())});
    }
    jobs.close();
    threads.clear();
    samples.close();
    std::vector<load_sample> seen;
    while (auto sample = samples.pop())
        seen.push_back(std::move(*sample));
    return seen;
}

} // namespace oriolefall::bench

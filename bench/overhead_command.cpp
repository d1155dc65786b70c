#include "bench/commands.hpp"
#include "bench/load_call.hpp"
#include "bench/local_fleet.hpp"
#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/objects/stop_signal.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace oriolefall::bench {

namespace {

constexpr std::array<std::size_t, 3> stream_counts{1, 64, 512};
/// Requests of one measurement at least.
constexpr std::size_t fewest_requests = 256;
constexpr std::uint32_t answer_tokens = 16;
constexpr absl::Duration idle_time = absl::Seconds(10);
const core::location here{core::region_name("r"),
                          core::failure_domain_name("r-1")};

trace_header one_engine()
{
    trace_header header;
    header.location = here;
    core::service_class answers;
    answers.name = core::class_name("answer");
    answers.tier = core::tier::interactive;
    header.classes = {answers};
    header.workspaces = {core::workspace_id("club")};
    trace_server engine;
    engine.server.id = core::backend_server_id("engine");
    engine.server.location = here;
    engine.server.serves = {"assistant"};
    engine.server.slots = 1024;
    engine.speed.prefill_tokens_per_s = 1'000'000;
    engine.speed.step = absl::Milliseconds(10);
    engine.speed.step_per_stream = absl::ZeroDuration();
    engine.speed.queue_limit = 1024;
    header.servers = {engine};
    return header;
}

load_request question(std::size_t number)
{
    load_request asked;
    asked.service_class = core::class_name("answer");
    asked.workspace = core::workspace_id("club");
    asked.model = core::model_name("assistant");
    asked.prompt = "question " + std::to_string(number);
    asked.output_tokens = answer_tokens;
    return asked;
}

void print(const std::string& metric, double value, const std::string& unit)
{
    const nlohmann::json line{{"bench", "overhead"},
                              {"metric", metric},
                              {"value", value},
                              {"unit", unit}};
    std::cout << line.dump() << std::endl;
}

/// First-token times of the whole answers, sorted.
using first_tokens = std::vector<absl::Duration>;

/// Sends requests to `to` in so many streams at once, each one after the
/// other.
first_tokens measure(const core::endpoint& to, std::size_t streams)
{
    const std::size_t rounds =
        std::max<std::size_t>(1, fewest_requests / streams);
    std::vector<first_tokens> each(streams);
    {
        std::vector<core::duty_thread> callers;
        callers.reserve(streams);
        for (std::size_t at = 0; at < streams; ++at)
            callers.emplace_back("caller", [&, at] {
                for (std::size_t i = 0; i < rounds; ++i) {
                    const load_outcome outcome = send_load(
                        to, question(at * rounds + i), core::monotonic_now());
                    if (outcome.ending == load_ending::whole)
                        each[at].push_back(outcome.first_token);
                }
            });
    }
    first_tokens all;
    for (const first_tokens& some : each)
        all.insert(all.end(), some.begin(), some.end());
    std::ranges::sort(all);
    return all;
}

double quantile_ms(const first_tokens& sorted, double quantile)
{
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto at = static_cast<std::size_t>(quantile * last);
    return absl::ToDoubleMilliseconds(sorted[at]);
}

/// Direct and through the instance, in turn. False when an answer was missing.
bool measure_streams(const local_fleet& fleet, std::size_t streams)
{
    const first_tokens direct = measure(fleet.server_endpoint(0), streams);
    const first_tokens through = measure(fleet.entries()[0], streams);
    if (direct.empty() || through.empty())
        return false;
    const std::string at = "_at_" + std::to_string(streams);
    for (const auto& [name, quantile] :
         {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}}) {
        const double without = quantile_ms(direct, quantile);
        const double with = quantile_ms(through, quantile);
        print(std::string("first_token_direct_") + name + at, without, "ms");
        print(std::string("first_token_added_") + name + at, with - without,
              "ms");
    }
    print("answers_direct" + at, static_cast<double>(direct.size()), "1");
    print("answers_through" + at, static_cast<double>(through.size()), "1");
    return direct.size() == through.size();
}

void measure_idle(local_fleet& fleet)
{
    objects::stop_signal never;
    const absl::Duration before = fleet.instance(0).processor_time();
    static_cast<void>(never.wait(idle_time));
    const absl::Duration used = fleet.instance(0).processor_time() - before;
    print("idle_processor", 100.0 * absl::FDivDuration(used, idle_time),
          "% of a core");
}

} // namespace

int overhead_command(std::span<const std::string> words)
{
    if (!words.empty()) {
        std::cerr << "usage: oriolefall-bench overhead\n";
        return exit_wrong_use;
    }
    local_fleet fleet({.build_folder = own_folder(),
                       .header = one_engine(),
                       .instances = 1,
                       .backend_lanes = 600});
    const bool whole =
        std::ranges::all_of(stream_counts, [&](std::size_t streams) {
            return measure_streams(fleet, streams);
        });
    measure_idle(fleet);
    const int stopped = fleet.stop_instances();
    return whole ? stopped : EXIT_FAILURE;
}

} // namespace oriolefall::bench

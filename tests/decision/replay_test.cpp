// Replays the stored traces and checks attainment, fairness, wasted work and
// goodput against fixed bounds and the baseline policies.
#include "bench/replay.hpp"
#include "bench/trace_generator.hpp"
#include "bench/trace_writer.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;

namespace {

constexpr std::array<const char*, 3> baselines{"fifo", "round-robin",
                                               "least-loaded"};

std::string trace_path(const std::string& name)
{
    const char* source = std::getenv("ORIOLEFALL_SOURCE");
    return std::string(source == nullptr ? "." : source) + "/traces/" + name +
           ".jsonl";
}

bench::trace load_stored_trace(const std::string& name)
{
    auto loaded = bench::load_trace(trace_path(name));
    cr_assert(std::holds_alternative<bench::trace>(loaded), "%s", name.c_str());
    return std::get<bench::trace>(std::move(loaded));
}

bench::replay_result run(const bench::trace& replayed,
                         const std::string& policy, std::uint64_t seed)
{
    bench::replay simulation(
        replayed, *bench::make_policy(policy, replayed.header, seed), seed);
    return simulation.run();
}

double metric_value(const std::vector<bench::metric>& all,
                    const std::string& name, const std::string& tier = "all",
                    const std::string& class_name = "all")
{
    return bench::find_metric(all, name, tier, class_name).value_or(-1.0);
}

/// Metrics of the decider and the best values of the baselines on one trace.
struct comparison
{
    explicit comparison(const std::string& name)
    {
        const bench::trace replayed = load_stored_trace(name);
        own_metrics = bench::measure(replayed, run(replayed, "oriolefall", 1));
        for (const char* each : baselines) {
            const auto baseline_metrics =
                bench::measure(replayed, run(replayed, each, 1));
            min_baseline_waste =
                std::min(min_baseline_waste,
                         metric_value(baseline_metrics, "wasted_work_ratio"));
            for (const char* metric :
                 {"goodput_requests_per_s", "goodput_tokens_per_s"})
                best_baseline[metric] =
                    std::max(best_baseline[metric],
                             metric_value(baseline_metrics, metric));
        }
    }

    std::vector<bench::metric> own_metrics;
    double min_baseline_waste = 1.0;
    std::map<std::string, double> best_baseline;
};

const std::array<const char*, 7> all_traces{
    "cutoff-burst", "shift-change",    "straggler",   "crash-mid-answer",
    "lying-load",   "workspace-flood", "weekend-move"};

// In these traces the demand is twice the capacity, while the demand of the
// highest tier alone can be served.
const std::string cutoff_trace = "cutoff-burst";
const std::string shift_trace = "shift-change";
const std::string flood_trace = "workspace-flood";

void expect_top_tier_attainment(const std::string& name)
{
    const comparison result(name);
    cr_assert_geq(
        metric_value(result.own_metrics, "attainment", "interactive"), 0.99,
        "%f", metric_value(result.own_metrics, "attainment", "interactive"));
}

void expect_fair_shares(const std::string& name)
{
    const comparison result(name);
    const double jain_index = metric_value(result.own_metrics, "jain_index");
    cr_assert_geq(jain_index, 0.95, "%f", jain_index);
}

void expect_low_wasted_work(const std::string& name)
{
    const comparison result(name);
    const double wasted_ratio =
        metric_value(result.own_metrics, "wasted_work_ratio");
    cr_assert_leq(wasted_ratio, 0.02, "%f", wasted_ratio);
    cr_assert_leq(wasted_ratio, result.min_baseline_waste / 2.0, "%f of %f",
                  wasted_ratio, result.min_baseline_waste);
}

void expect_goodput(const std::string& name, const std::string& metric)
{
    const comparison result(name);
    const double value = metric_value(result.own_metrics, metric);
    const double best_baseline = result.best_baseline.at(metric);
    cr_assert_geq(value, best_baseline, "%f of %f", value, best_baseline);
}

} // namespace

Test(replay_cutoff, top_tier_attainment)
{
    expect_top_tier_attainment(cutoff_trace);
}

Test(replay_cutoff, fair_shares)
{
    expect_fair_shares(cutoff_trace);
}

Test(replay_cutoff, low_wasted_work)
{
    expect_low_wasted_work(cutoff_trace);
}

Test(replay_cutoff, goodput_requests)
{
    expect_goodput(cutoff_trace, "goodput_requests_per_s");
}

Test(replay_cutoff, goodput_tokens)
{
    expect_goodput(cutoff_trace, "goodput_tokens_per_s");
}

Test(replay_shift, top_tier_attainment)
{
    expect_top_tier_attainment(shift_trace);
}

Test(replay_shift, fair_shares)
{
    expect_fair_shares(shift_trace);
}

Test(replay_shift, low_wasted_work)
{
    expect_low_wasted_work(shift_trace);
}

Test(replay_shift, goodput_requests)
{
    expect_goodput(shift_trace, "goodput_requests_per_s");
}

Test(replay_shift, goodput_tokens)
{
    expect_goodput(shift_trace, "goodput_tokens_per_s");
}

Test(replay_flood, top_tier_attainment)
{
    expect_top_tier_attainment(flood_trace);
}

Test(replay_flood, fair_shares)
{
    expect_fair_shares(flood_trace);
}

Test(replay_flood, low_wasted_work)
{
    expect_low_wasted_work(flood_trace);
}

Test(replay_flood, goodput_requests)
{
    expect_goodput(flood_trace, "goodput_requests_per_s");
}

Test(replay_flood, goodput_tokens)
{
    expect_goodput(flood_trace, "goodput_tokens_per_s");
}

Test(replay, every_class_is_served)
{
    for (const char* name : all_traces) {
        const bench::trace replayed = load_stored_trace(name);
        const auto own_metrics =
            bench::measure(replayed, run(replayed, "oriolefall", 1));
        for (const core::service_class& each : replayed.header.classes) {
            const double served = metric_value(
                own_metrics, "served", std::string(core::to_string(each.tier)),
                each.name.value());
            cr_assert_gt(served, 0.0, "%s: %s", name,
                         each.name.value().c_str());
        }
    }
}

Test(replay, non_idempotent_requests_run_at_most_once)
{
    for (const char* name : all_traces) {
        const bench::trace replayed = load_stored_trace(name);
        cr_assert_eq(run(replayed, "oriolefall", 1).duplicate_runs, 0);
    }
}

Test(replay, every_request_gets_a_verdict)
{
    for (const char* name : all_traces) {
        const bench::trace replayed = load_stored_trace(name);
        const auto result = run(replayed, "oriolefall", 2);
        cr_assert(std::ranges::all_of(result.outcomes, [](const auto& each) {
            return each.verdict.has_value();
        }));
    }
}

Test(replay, equal_seeds_give_equal_results)
{
    const bench::trace replayed = load_stored_trace("demo");
    cr_assert(run(replayed, "oriolefall", 3) == run(replayed, "oriolefall", 3));
}

Test(replay, a_written_trace_parses_to_an_equal_trace)
{
    for (const bench::named_trace& each : bench::standard_traces()) {
        std::stringstream text;
        bench::print_trace(text, each.content);
        const auto parsed = bench::parse_trace(text);
        cr_assert(std::holds_alternative<bench::trace>(parsed));
        cr_assert(std::get<bench::trace>(parsed) == each.content);
    }
}

Test(replay, stored_traces_match_the_generator)
{
    for (const bench::named_trace& each : bench::standard_traces()) {
        const std::string name = each.file.substr(0, each.file.find('.'));
        cr_assert(load_stored_trace(name) == each.content, "%s", name.c_str());
    }
}

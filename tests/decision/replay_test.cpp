// Replays of the traces against the stated outcomes.
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

bench::trace load(const std::string& name)
{
    auto loaded = bench::load_trace(trace_path(name));
    cr_assert(std::holds_alternative<bench::trace>(loaded), "%s", name.c_str());
    return std::get<bench::trace>(std::move(loaded));
}

bench::replay_result run(const bench::trace& replayed,
                         const std::string& policy, std::uint64_t seed)
{
    bench::replay once(
        replayed, *bench::make_policy(policy, replayed.header, seed), seed);
    return once.run();
}

double figure(const std::vector<bench::metric>& all, const std::string& name,
              const std::string& tier = "all",
              const std::string& class_name = "all")
{
    return bench::find_metric(all, name, tier, class_name).value_or(-1.0);
}

/// The figures of the decisions and of the best baseline on one trace.
struct compared
{
    explicit compared(const std::string& name)
    {
        const bench::trace replayed = load(name);
        ours = bench::measure(replayed, run(replayed, "oriolefall", 1));
        for (const char* each : baselines) {
            const auto theirs =
                bench::measure(replayed, run(replayed, each, 1));
            least_waste =
                std::min(least_waste, figure(theirs, "wasted_work_ratio"));
            for (const char* metric :
                 {"goodput_requests_per_s", "goodput_tokens_per_s"})
                best[metric] = std::max(best[metric], figure(theirs, metric));
        }
    }

    std::vector<bench::metric> ours;
    double least_waste = 1.0;
    std::map<std::string, double> best;
};

const std::array<const char*, 7> all_traces{
    "cutoff-burst", "shift-change",    "straggler",   "crash-mid-answer",
    "lying-load",   "workspace-flood", "weekend-move"};

// Demand is twice the capacity in those, while the highest tier fits.
const std::string cutoff = "cutoff-burst";
const std::string shift = "shift-change";
const std::string flood = "workspace-flood";

void expect_top_tier_attainment(const std::string& name)
{
    const compared result(name);
    cr_assert_geq(figure(result.ours, "attainment", "interactive"), 0.99, "%f",
                  figure(result.ours, "attainment", "interactive"));
}

void expect_fair_shares(const std::string& name)
{
    const compared result(name);
    const double fair = figure(result.ours, "jain_index");
    cr_assert_geq(fair, 0.95, "%f", fair);
}

void expect_little_waste(const std::string& name)
{
    const compared result(name);
    const double wasted = figure(result.ours, "wasted_work_ratio");
    cr_assert_leq(wasted, 0.02, "%f", wasted);
    cr_assert_leq(wasted, result.least_waste / 2.0, "%f of %f", wasted,
                  result.least_waste);
}

void expect_goodput(const std::string& name, const std::string& metric)
{
    const compared result(name);
    const double value = figure(result.ours, metric);
    const double best = result.best.at(metric);
    cr_assert_geq(value, best, "%f of %f", value, best);
}

} // namespace

Test(replay_cutoff, top_tier_attainment)
{
    expect_top_tier_attainment(cutoff);
}

Test(replay_cutoff, fair_shares)
{
    expect_fair_shares(cutoff);
}

Test(replay_cutoff, little_waste)
{
    expect_little_waste(cutoff);
}

Test(replay_cutoff, goodput_requests)
{
    expect_goodput(cutoff, "goodput_requests_per_s");
}

Test(replay_cutoff, goodput_tokens)
{
    expect_goodput(cutoff, "goodput_tokens_per_s");
}

Test(replay_shift, top_tier_attainment)
{
    expect_top_tier_attainment(shift);
}

Test(replay_shift, fair_shares)
{
    expect_fair_shares(shift);
}

Test(replay_shift, little_waste)
{
    expect_little_waste(shift);
}

Test(replay_shift, goodput_requests)
{
    expect_goodput(shift, "goodput_requests_per_s");
}

Test(replay_shift, goodput_tokens)
{
    expect_goodput(shift, "goodput_tokens_per_s");
}

Test(replay_flood, top_tier_attainment)
{
    expect_top_tier_attainment(flood);
}

Test(replay_flood, fair_shares)
{
    expect_fair_shares(flood);
}

Test(replay_flood, little_waste)
{
    expect_little_waste(flood);
}

Test(replay_flood, goodput_requests)
{
    expect_goodput(flood, "goodput_requests_per_s");
}

Test(replay_flood, goodput_tokens)
{
    expect_goodput(flood, "goodput_tokens_per_s");
}

Test(replay, every_class_is_served)
{
    for (const char* name : all_traces) {
        const bench::trace replayed = load(name);
        const auto ours =
            bench::measure(replayed, run(replayed, "oriolefall", 1));
        for (const core::service_class& each : replayed.header.classes) {
            const double served =
                figure(ours, "served", std::string(core::to_string(each.tier)),
                       each.name.value());
            cr_assert_gt(served, 0.0, "%s: %s", name,
                         each.name.value().c_str());
        }
    }
}

Test(replay, nothing_that_runs_once_runs_twice)
{
    for (const char* name : all_traces) {
        const bench::trace replayed = load(name);
        cr_assert_eq(run(replayed, "oriolefall", 1).duplicate_runs, 0);
    }
}

Test(replay, every_request_has_an_ending)
{
    for (const char* name : all_traces) {
        const bench::trace replayed = load(name);
        const auto result = run(replayed, "oriolefall", 2);
        cr_assert(std::ranges::all_of(result.outcomes, [](const auto& each) {
            return each.verdict.has_value();
        }));
    }
}

Test(replay, equal_seeds_give_equal_results)
{
    const bench::trace replayed = load("demo");
    cr_assert(run(replayed, "oriolefall", 3) == run(replayed, "oriolefall", 3));
}

Test(replay, a_printed_trace_is_read_back_as_equal)
{
    for (const bench::named_trace& each : bench::standard_traces()) {
        std::stringstream text;
        bench::print_trace(text, each.content);
        const auto read = bench::parse_trace(text);
        cr_assert(std::holds_alternative<bench::trace>(read));
        cr_assert(std::get<bench::trace>(read) == each.content);
    }
}

Test(replay, the_kept_traces_are_those_generated)
{
    for (const bench::named_trace& each : bench::standard_traces()) {
        const std::string name = each.file.substr(0, each.file.find('.'));
        cr_assert(load(name) == each.content, "%s", name.c_str());
    }
}

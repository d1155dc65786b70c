#include "bench/commands.hpp"
#include "bench/fleet_graph.hpp"
#include "bench/fleet_run.hpp"
#include "bench/linear_fit.hpp"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::bench {

namespace {

namespace options = boost::program_options;

constexpr double seconds_per_day = 86400.0;

/// What the command was asked for.
struct fleet_request
{
    std::vector<std::size_t> instances{6, 24, 96};
    double seconds = 20.0;
    double changes_per_day = 5800.0;
    /// How many times as many changes are made, so that a short run has some.
    double scale = 30.0;
    /// Size of fleet that the lines are drawn to.
    double planned = 440.0;
    std::size_t value_bytes = 2048;
};

/// One figure of a run, with the unit that it is printed in.
struct fleet_metric
{
    std::string_view name;
    std::string_view unit;
    std::function<double(const fleet_result&)> value;
};

/// A cost at the planned rate of changes: that of the idle fleet and the
/// planned share of what the changes added.
double at_planned_rate(double idle, double changing, double scale)
{
    return idle + (changing - idle) / scale;
}

std::vector<fleet_metric> cost_metrics(double scale)
{
    using result = fleet_result;
    return {
        {"bytes_sent_idle", "B/s",
         [](const result& r) { return r.idle.sent_bytes_per_s; }},
        {"bytes_sent_scaled", "B/s",
         [](const result& r) { return r.changing.sent_bytes_per_s; }},
        {"bytes_sent", "B/s",
         [scale](const result& r) {
             return at_planned_rate(r.idle.sent_bytes_per_s,
                                    r.changing.sent_bytes_per_s, scale);
         }},
        {"messages_idle", "1/s",
         [](const result& r) { return r.idle.messages_per_s; }},
        {"cpu_idle", "% of a core",
         [](const result& r) { return 100.0 * r.idle.cores; }},
        {"cpu_scaled", "% of a core",
         [](const result& r) { return 100.0 * r.changing.cores; }},
        {"cpu", "% of a core",
         [scale](const result& r) {
             return 100.0 *
                    at_planned_rate(r.idle.cores, r.changing.cores, scale);
         }},
        {"memory", "MB", [](const result& r) { return r.memory_bytes / 1e6; }},
        {"platform_calls_idle", "1/s",
         [](const result& r) { return r.idle.platform_calls_per_s; }},
        {"platform_calls", "1/s",
         [scale](const result& r) {
             return at_planned_rate(r.idle.platform_calls_per_s,
                                    r.changing.platform_calls_per_s, scale);
         }},
    };
}

std::vector<fleet_metric> other_metrics()
{
    using result = fleet_result;
    return {
        {"settled", "s",
         [](const result& r) { return absl::ToDoubleSeconds(r.settled); }},
        {"links", "1", [](const result& r) { return r.links_per_instance; }},
        {"readers", "1",
         [](const result& r) { return static_cast<double>(r.readers); }},
        {"changes", "1",
         [](const result& r) { return static_cast<double>(r.spread.changes); }},
        {"in_force_missing", "1",
         [](const result& r) { return static_cast<double>(r.spread.missing); }},
        {"in_force_p50", "ms",
         [](const result& r) {
             return absl::ToDoubleMilliseconds(r.spread.p50);
         }},
        {"in_force_p99", "ms",
         [](const result& r) {
             return absl::ToDoubleMilliseconds(r.spread.p99);
         }},
        {"in_force_longest", "ms",
         [](const result& r) {
             return absl::ToDoubleMilliseconds(r.spread.longest);
         }},
    };
}

void print(std::string_view metric, double instances, double value,
           std::string_view unit)
{
    const nlohmann::json line{{"bench", "fleet"},
                              {"metric", metric},
                              {"instances", instances},
                              {"value", value},
                              {"unit", unit}};
    std::cout << line.dump() << std::endl;
}

void print_result(const fleet_result& result, double scale)
{
    std::vector<fleet_metric> metrics = cost_metrics(scale);
    const std::vector<fleet_metric> others = other_metrics();
    metrics.insert(metrics.end(), others.begin(), others.end());
    for (const fleet_metric& metric : metrics)
        print(metric.name, static_cast<double>(result.plan.instances),
              metric.value(result), metric.unit);
}

/// The links that a fleet of the planned size has.
void print_graph(const fleet_request& request)
{
    const fleet_plan plan;
    const graph_shape shape =
        shape_of_fleet(static_cast<std::size_t>(request.planned), plan.regions,
                       plan.domains_per_region);
    print("graph_links_mean", request.planned, shape.mean_links, "1");
    print("graph_links_most", request.planned,
          static_cast<double>(shape.most_links), "1");
    print("graph_hops_most", request.planned,
          static_cast<double>(shape.most_hops), "1");
    print("graph_region_links", request.planned,
          static_cast<double>(shape.region_links), "1");
}

/// Draws a line through the measured sizes to the planned one.
void print_fits(const std::vector<fleet_result>& results,
                const fleet_request& request)
{
    for (const fleet_metric& metric : cost_metrics(request.scale)) {
        std::vector<measured_point> points;
        for (const fleet_result& result : results)
            points.push_back({static_cast<double>(result.plan.instances),
                              metric.value(result)});
        const linear_fit fit = fit_line(points);
        const std::string name(metric.name);
        print(name + "_slope", 1, fit.slope,
              std::string(metric.unit) + " per instance");
        print(name + "_fit", request.planned, fit.at(request.planned),
              metric.unit);
    }
}

options::options_description describe(fleet_request& request)
{
    options::options_description known("oriolefall-bench fleet");
    auto add = known.add_options();
    add("help", "shows this");
    add("instances", options::value(&request.instances)->multitoken(),
        "sizes of fleet, each measured in turn");
    add("seconds", options::value(&request.seconds),
        "length of each phase, idle and with changes");
    add("changes-per-day", options::value(&request.changes_per_day),
        "planned rate of changes of settings");
    add("scale", options::value(&request.scale),
        "times as many are made while measuring");
    add("planned", options::value(&request.planned),
        "size of fleet that the fitted lines are drawn to");
    add("value-bytes", options::value(&request.value_bytes),
        "length of a changed value");
    return known;
}

int run(const fleet_request& request)
{
    std::vector<fleet_result> results;
    for (const std::size_t instances : request.instances) {
        fleet_plan plan;
        plan.instances = instances;
        plan.phase = absl::Seconds(request.seconds);
        plan.changes_per_second =
            request.changes_per_day * request.scale / seconds_per_day;
        plan.value_bytes = request.value_bytes;
        const auto result = run_fleet(plan);
        if (!result) {
            std::cerr << "fleet of " << instances << " did not settle\n";
            return 1;
        }
        print_result(*result, request.scale);
        results.push_back(*result);
    }
    print_fits(results, request);
    print_graph(request);
    return 0;
}

} // namespace

int fleet_command(std::span<const std::string> words)
{
    fleet_request request;
    const options::options_description known = describe(request);
    try {
        const std::vector<std::string> given(words.begin(), words.end());
        options::variables_map values;
        options::store(options::command_line_parser(given).options(known).run(),
                       values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << known;
            return 0;
        }
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return exit_wrong_use;
    }
    return run(request);
}

} // namespace oriolefall::bench

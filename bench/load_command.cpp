#include "bench/commands.hpp"

#include "bench/engine_counters.hpp"
#include "bench/load_command.hpp"
#include "bench/load_report.hpp"
#include "bench/load_runner.hpp"
#include "bench/trace.hpp"
#include "oriolefall/settings/endpoint_text.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace oriolefall::bench {

namespace {

namespace options = boost::program_options;

struct load_arguments
{
    std::vector<std::string> entries;
    std::vector<std::string> engines;
    std::string trace_path;
    load_settings settings;
};

load_arguments parse_arguments(std::span<const std::string> words)
{
    load_arguments parsed;
    options::options_description known("oriolefall-bench load");
    // clang-format off
    known.add_options()
        ("entry", options::value(&parsed.entries)->required()->composing(),
         "HOST:PORT of an instance; may be repeated")
        ("engine", options::value(&parsed.engines)->composing(),
         "HOST:PORT of a stand-in engine whose counters tell wasted work")
        ("trace", options::value(&parsed.trace_path)->required(), "FILE")
        ("speed", options::value(&parsed.settings.speed)->default_value(1.0),
         "times the pace of the trace")
        ("callers", options::value(&parsed.settings.callers)
            ->default_value(parsed.settings.callers), "requests open at once");
    // clang-format on
    options::variables_map values;
    const std::vector<std::string> given(words.begin(), words.end());
    options::store(options::command_line_parser(given).options(known).run(),
                   values);
    options::notify(values);
    return parsed;
}

std::vector<core::endpoint>
parse_endpoints(const std::vector<std::string>& from)
{
    std::vector<core::endpoint> endpoints;
    for (const std::string& text : from) {
        const auto endpoint = settings::parse_endpoint(text);
        if (!endpoint)
            throw options::error("not an address and port: " + text);
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

} // namespace

int load_command(std::span<const std::string> words)
{
    try {
        load_arguments arguments = parse_arguments(words);
        arguments.settings.entries = parse_endpoints(arguments.entries);
        const auto engines = parse_endpoints(arguments.engines);
        const auto loaded = load_trace(arguments.trace_path);
        if (const auto* error = std::get_if<trace_error>(&loaded))
            return report_trace_error(arguments.trace_path, *error);
        const load_run run =
            measure_load(arguments.settings, std::get<trace>(loaded), engines);
        print_table(std::cerr, run.rows, run.length);
        print_lines(std::cout, run.rows, run.length);
        return EXIT_SUCCESS;
    } catch (const options::error& error) {
        std::cerr << "oriolefall-bench load: " << error.what() << '\n';
        return exit_wrong_use;
    }
}

load_run measure_load(const load_settings& settings, const trace& replayed,
                      const std::vector<core::endpoint>& engines)
{
    if (!replayed.faults.empty())
        std::cerr << "the faults of the trace are not applied\n";
    const engine_work before = read_engine_work(engines);
    load_run run;
    run.samples = run_load(settings, replayed);
    const engine_work work = read_engine_work(engines) - before;
    run.rows = make_load_rows(replayed, run.samples, work);
    if (!replayed.arrivals.empty())
        run.length = replayed.arrivals.back().at / settings.speed;
    return run;
}

} // namespace oriolefall::bench

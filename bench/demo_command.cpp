#include "bench/commands.hpp"

#include "bench/address_book.hpp"
#include "bench/engine_counters.hpp"
#include "bench/load_command.hpp"
#include "bench/local_fleet.hpp"
#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>

namespace oriolefall::bench {

namespace {

constexpr std::size_t demo_instances = 3;
constexpr std::size_t shown_bytes = 60;

void print_entries(const local_fleet& fleet)
{
    const core::workspace_id& asked = fleet.header().workspaces.front();
    address_book book(fleet.entries());
    std::cerr << "workspace " << asked.value() << " may use";
    for (const core::endpoint& endpoint :
         book.find(asked, core::monotonic_now()))
        std::cerr << ' ' << endpoint.address << ':' << endpoint.port;
    std::cerr << '\n';
}

/// The first whole answer of each class.
void print_answers(const trace& replayed,
                   const std::vector<load_sample>& samples)
{
    std::map<core::class_name, std::string> shown;
    for (const load_sample& sample : samples) {
        if (sample.outcome.ending == load_ending::whole)
            shown.emplace(replayed.arrivals[sample.arrival].service_class,
                          sample.outcome.text.substr(0, shown_bytes));
    }
    for (const auto& [name, text] : shown)
        std::cerr << name.value() << ": " << text << "...\n";
}

/// True when every class that was asked got a whole answer.
bool served_all(const std::vector<load_row>& rows)
{
    return std::ranges::all_of(rows, [](const load_row& row) {
        return row.offered == 0 || row.whole > 0;
    });
}

int run_demo(const trace& replayed)
{
    local_fleet fleet({.build_folder = own_folder(),
                       .header = replayed.header,
                       .instances = demo_instances});
    std::cerr << "started " << fleet.header().servers.size()
              << " stand-ins and " << demo_instances << " entry instances\n";
    print_entries(fleet);
    const load_run run =
        measure_load({.entries = fleet.entries()}, replayed, engines_of(fleet));
    print_answers(replayed, run.samples);
    print_table(std::cerr, run.rows, run.length);
    print_lines(std::cout, run.rows, run.length);
    const int stopped = fleet.stop_instances();
    std::cerr << "the instances stopped with status " << stopped << '\n';
    if (!served_all(run.rows))
        std::cerr << "a class got no whole answer\n";
    return stopped == EXIT_SUCCESS && served_all(run.rows) ? EXIT_SUCCESS
                                                           : EXIT_FAILURE;
}

} // namespace

int demo_command(std::span<const std::string> words)
{
    if (words.size() != 1) {
        std::cerr << "usage: oriolefall-bench demo TRACE\n";
        return exit_wrong_use;
    }
    const auto loaded = load_trace(words[0]);
    if (const auto* error = std::get_if<trace_error>(&loaded))
        return report_trace_error(words[0], *error);
    return run_demo(std::get<trace>(loaded));
}

} // namespace oriolefall::bench

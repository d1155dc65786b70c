#include "bench/commands.hpp"
#include "bench/trace.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace oriolefall::bench {

int check_trace_command(std::span<const std::string> words)
{
    if (words.size() != 1) {
        std::cerr << "usage: oriolefall-bench check-trace FILE\n";
        return exit_wrong_use;
    }
    const auto loaded = load_trace(words[0]);
    if (const auto* error = std::get_if<trace_error>(&loaded))
        return report_trace_error(words[0], *error);
    const auto& held = std::get<trace>(loaded);
    std::cout << nlohmann::json{{"name", held.header.name},
                                {"arrivals", held.arrivals.size()},
                                {"faults", held.faults.size()}}
              << '\n';
    return 0;
}

int report_trace_error(const std::string& path, const trace_error& error)
{
    std::cerr << path << ':' << error.line << ": " << error.message << '\n';
    return exit_wrong_use;
}

} // namespace oriolefall::bench

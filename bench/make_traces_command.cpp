#include "bench/commands.hpp"
#include "bench/trace_generator.hpp"
#include "bench/trace_writer.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace oriolefall::bench {

int make_traces_command(std::span<const std::string> words)
{
    if (words.size() != 1) {
        std::cerr << "usage: oriolefall-bench make-traces DIR\n";
        return exit_wrong_use;
    }
    const std::filesystem::path folder(words[0]);
    std::filesystem::create_directories(folder);
    for (const named_trace& each : standard_traces()) {
        std::ofstream out(folder / each.file);
        print_trace(out, each.content);
        if (!out.flush()) {
            std::cerr << "cannot write " << each.file << '\n';
            return 1;
        }
    }
    return 0;
}

} // namespace oriolefall::bench

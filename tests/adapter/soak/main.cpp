#include "tests/adapter/soak/soak.hpp"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace {

namespace options = boost::program_options;
using oriolefall::soak::soak;
using oriolefall::soak::soak_settings;

/// Plays one seed and prints one line for it, and one for each broken promise.
bool play(soak_settings settings, const std::filesystem::path& folder)
{
    settings.folder = folder / std::to_string(settings.seed);
    const auto result = soak(settings).run();
    std::cout << "seed " << settings.seed << ": " << result.attempts
              << " requests, " << result.answered << " answered whole ("
              << result.other_endings << "), " << result.share_recovered
              << " after recovery, " << result.broken.size()
              << " promises broken\n";
    for (const std::string& each : result.broken)
        std::cout << "  " << each << "\n";
    std::cout.flush();
    return result.broken.empty();
}

void print_schedule(const soak_settings& settings)
{
    for (const auto& each :
         oriolefall::soak::make_schedule(settings.seed, settings.disturbed))
        std::cout << "  " << each.at.count() << " ms "
                  << oriolefall::soak::to_text(each.what) << " target "
                  << each.target << " for " << each.lasts.count() << " ms\n";
}

} // namespace

/// oriolefall-soak PROGRAM FOLDER --seeds 1 2 3: plays each seed.
int main(int count, char** words)
{
    soak_settings settings;
    std::string program;
    std::string folder;
    std::vector<std::uint64_t> seeds;
    options::options_description known("options");
    known.add_options()("program", options::value(&program)->required(),
                        "the shipped program")(
        "folder", options::value(&folder)->required(),
        "takes settings files and logs")(
        "seeds", options::value(&seeds)->multitoken()->required(),
        "played one after the other")(
        "instances", options::value(&settings.instances),
        "processes")("schedule", "prints the disruptions of each seed as well");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(count, words, known), given);
        options::notify(given);
        settings.program = program;
        bool all_kept = true;
        for (const std::uint64_t seed : seeds) {
            settings.seed = seed;
            if (given.contains("schedule"))
                print_schedule(settings);
            all_kept = play(settings, folder) && all_kept;
        }
        return all_kept ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception& fault) {
        std::cerr << "oriolefall-soak: " << fault.what() << "\n" << known;
        return EXIT_FAILURE;
    }
}

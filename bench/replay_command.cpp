#include "bench/commands.hpp"
#include "bench/replay.hpp"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace oriolefall::bench {

namespace {

namespace options = boost::program_options;

struct replay_words
{
    std::string file;
    std::vector<std::string> policies;
    std::uint64_t seeds = 1;
};

replay_words parse_words(std::span<const std::string> words)
{
    replay_words parsed;
    options::options_description known("replay FILE");
    known.add_options()("file", options::value(&parsed.file)->required(),
                        "trace to replay")(
        "policy", options::value(&parsed.policies)->composing(),
        "fifo, round-robin, least-loaded or oriolefall; may repeat")(
        "seeds", options::value(&parsed.seeds)->default_value(1),
        "runs, with seeds from 1");
    options::positional_options_description places;
    places.add("file", 1);
    const std::vector<std::string> copied(words.begin(), words.end());
    options::variables_map values;
    options::store(options::command_line_parser(copied)
                       .options(known)
                       .positional(places)
                       .run(),
                   values);
    options::notify(values);
    if (parsed.policies.empty())
        parsed.policies = policy_names();
    return parsed;
}

void print(const std::string& policy, std::uint64_t seed,
           const std::vector<metric>& metrics)
{
    for (const metric& each : metrics) {
        nlohmann::ordered_json line;
        line["policy"] = policy;
        line["seed"] = seed;
        line["class"] = each.service_class;
        line["tier"] = each.tier;
        line["metric"] = each.name;
        line["value"] = each.value;
        std::cout << line << '\n';
    }
}

int replay_all(const replay_words& words)
{
    const auto loaded = load_trace(words.file);
    if (const auto* error = std::get_if<trace_error>(&loaded))
        return report_trace_error(words.file, *error);
    const auto& replayed = std::get<trace>(loaded);
    for (const std::string& name : words.policies) {
        for (std::uint64_t seed = 1; seed <= words.seeds; ++seed) {
            const auto policy = make_policy(name, replayed.header, seed);
            if (!policy) {
                std::cerr << "unknown policy " << name << '\n';
                return exit_wrong_use;
            }
            replay run(replayed, *policy, seed);
            print(name, seed, measure(replayed, run.run()));
        }
    }
    return 0;
}

} // namespace

int replay_command(std::span<const std::string> words)
{
    try {
        return replay_all(parse_words(words));
    } catch (const options::error& error) {
        std::cerr << "replay: " << error.what() << '\n';
        return exit_wrong_use;
    }
}

} // namespace oriolefall::bench

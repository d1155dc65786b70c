#include "stand_ins/engine_server.hpp"
#include "stand_ins/platform_server.hpp"
#include "stand_ins/service_server.hpp"

#include <absl/strings/str_split.h>
#include <array>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

namespace po = boost::program_options;
using namespace oriolefall::stand_ins;

constexpr int exit_bad_arguments = 2;

using argument_list = std::vector<std::string>;

/// A kind of stand-in and the function that runs it until a signal; `serve`
/// returns the exit status.
struct stand_in_kind
{
    std::string_view name;
    std::function<int(const argument_list&)> serve;
};

/// Prints where the stand-in listens, then waits for SIGTERM or SIGINT and
/// exits. Returns only when `port` is 0: the port could not be bound.
int announce_and_wait(std::uint16_t port)
{
    if (port == 0) {
        std::cerr << "oriolefall-standins: the port cannot be had\n";
        return EXIT_FAILURE;
    }
    std::cout << R"({"listening":"127.0.0.1","port":)" << port << "}"
              << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal = 0;
    sigwait(&signals, &signal);
    // A stand-in stores nothing, so it exits at once and cuts open requests.
    std::_Exit(EXIT_SUCCESS);
}

/// Blocks SIGTERM and SIGINT. Threads started later inherit the mask, so only
/// the main thread receives these signals, by sigwait.
void block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

po::options_description host_options(host_settings& host)
{
    po::options_description known_options("All");
    known_options.add_options()("port",
                                po::value(&host.port)->default_value(host.port),
                                "port on 127.0.0.1; 0 takes a free one")(
        "threads", po::value(&host.threads)->default_value(host.threads),
        "connections served at once");
    return known_options;
}

void parse(const argument_list& arguments,
           const po::options_description& known_options)
{
    po::variables_map values;
    po::store(po::command_line_parser(arguments).options(known_options).run(),
              values);
    po::notify(values);
}

template <class T>
auto with_default(T& member)
{
    return po::value(&member)->default_value(member);
}

int serve_engine(const argument_list& arguments)
{
    host_settings host;
    engine_settings engine;
    std::string models = "assistant";
    double step_ms = absl::ToDoubleMilliseconds(engine.step);
    double load_ms = absl::ToDoubleMilliseconds(engine.model_load_time);
    auto known_options = host_options(host);
    // clang-format off
    known_options.add_options()
        ("id", with_default(engine.id), "name of the engine")
        ("models", with_default(models), "loaded models, comma between")
        ("slots", with_default(engine.slots), "answers computed at once")
        ("queue", with_default(engine.queue_capacity), "requests that wait")
        ("step-ms", with_default(step_ms), "decode step of one answer")
        ("step-growth", with_default(engine.step_growth),
         "share by which a step grows for each further answer")
        ("prefill-tokens-per-s", with_default(engine.prefill_tokens_per_s), "")
        ("cache-tokens", with_default(engine.cache_tokens), "prefix cache")
        ("load-ms", with_default(load_ms), "time to load a model")
        ("checks-fencing", po::bool_switch(&engine.checks_fencing),
         "refuse orders with an old fencing number");
    // clang-format on
    parse(arguments, known_options);
    engine.models = absl::StrSplit(models, ',', absl::SkipEmpty());
    engine.step = absl::Milliseconds(step_ms);
    engine.model_load_time = absl::Milliseconds(load_ms);
    const engine_server server(engine, host);
    return announce_and_wait(server.port());
}

int serve_service(const argument_list& arguments)
{
    host_settings host;
    std::string id = "service";
    auto known_options = host_options(host);
    std::uint32_t delay_ms = 0;
    known_options.add_options()("id", with_default(id), "name of the service")(
        "delay-ms", with_default(delay_ms), "time that each call takes");
    parse(arguments, known_options);
    const service_server server(id, host, delay_ms);
    return announce_and_wait(server.port());
}

int serve_platform(const argument_list& arguments)
{
    host_settings host;
    std::size_t history = 10000;
    auto known_options = host_options(host);
    known_options.add_options()("history", with_default(history),
                                "changes that a watch can still be told");
    parse(arguments, known_options);
    const platform_server server(history, host);
    return announce_and_wait(server.port());
}

} // namespace

int main(int argc, char** argv)
{
    block_signals();
    const std::array kinds{stand_in_kind{"engine", serve_engine},
                           stand_in_kind{"service", serve_service},
                           stand_in_kind{"platform", serve_platform}};
    const argument_list arguments(argv + 1, argv + argc);
    const auto found =
        std::ranges::find_if(kinds, [&](const stand_in_kind& each) {
            return !arguments.empty() && each.name == arguments.front();
        });
    if (found == kinds.end()) {
        std::cerr << "oriolefall-standins: engine, service or platform\n";
        return exit_bad_arguments;
    }
    try {
        return found->serve({arguments.begin() + 1, arguments.end()});
    } catch (const po::error& error) {
        std::cerr << "oriolefall-standins: " << error.what() << "\n";
        return exit_bad_arguments;
    }
}

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

namespace options = boost::program_options;
using namespace oriolefall::stand_ins;

constexpr int bad_arguments = 2;

using arguments = std::vector<std::string>;

/// One kind of stand-in.
struct kind
{
    std::string_view name;
    std::function<int(const arguments&)> serve;
};

/// Prints where the stand-in listens and waits for the signal that ends it.
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
    // Nothing is kept, so what still runs is cut.
    std::_Exit(EXIT_SUCCESS);
}

/// Blocked in all threads, so that the main thread alone takes them.
void block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

options::options_description host_options(host_settings& host)
{
    options::options_description known("All");
    known.add_options()("port",
                        options::value(&host.port)->default_value(host.port),
                        "port on 127.0.0.1; 0 takes a free one")(
        "threads", options::value(&host.threads)->default_value(host.threads),
        "connections served at once");
    return known;
}

void parse(const arguments& given, const options::options_description& known)
{
    options::variables_map values;
    options::store(options::command_line_parser(given).options(known).run(),
                   values);
    options::notify(values);
}

template <class T>
auto with_default(T& member)
{
    return options::value(&member)->default_value(member);
}

int serve_engine(const arguments& given)
{
    host_settings host;
    engine_settings engine;
    std::string models = "assistant";
    double step_ms = absl::ToDoubleMilliseconds(engine.step);
    double load_ms = absl::ToDoubleMilliseconds(engine.model_load_time);
    auto known = host_options(host);
    // clang-format off
    known.add_options()
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
        ("checks-fencing", options::bool_switch(&engine.checks_fencing),
         "refuse orders with an old fencing number");
    // clang-format on
    parse(given, known);
    engine.models = absl::StrSplit(models, ',', absl::SkipEmpty());
    engine.step = absl::Milliseconds(step_ms);
    engine.model_load_time = absl::Milliseconds(load_ms);
    const engine_server server(engine, host);
    return announce_and_wait(server.port());
}

int serve_service(const arguments& given)
{
    host_settings host;
    std::string id = "service";
    auto known = host_options(host);
    std::uint32_t delay_ms = 0;
    known.add_options()("id", with_default(id), "name of the service")(
        "delay-ms", with_default(delay_ms), "time that each call takes");
    parse(given, known);
    const service_server server(id, host, delay_ms);
    return announce_and_wait(server.port());
}

int serve_platform(const arguments& given)
{
    host_settings host;
    std::size_t history = 10000;
    auto known = host_options(host);
    known.add_options()("history", with_default(history),
                        "changes that a watch can still be told");
    parse(given, known);
    const platform_server server(history, host);
    return announce_and_wait(server.port());
}

} // namespace

int main(int argc, char** argv)
{
    block_signals();
    const std::array kinds{kind{"engine", serve_engine},
                           kind{"service", serve_service},
                           kind{"platform", serve_platform}};
    const arguments given(argv + 1, argv + argc);
    const auto found = std::ranges::find_if(kinds, [&](const kind& k) {
        return !given.empty() && k.name == given.front();
    });
    if (found == kinds.end()) {
        std::cerr << "oriolefall-standins: engine, service or platform\n";
        return bad_arguments;
    }
    try {
        return found->serve({given.begin() + 1, given.end()});
    } catch (const options::error& error) {
        std::cerr << "oriolefall-standins: " << error.what() << "\n";
        return bad_arguments;
    }
}

#include "bench/local_fleet.hpp"

#include "oriolefall/core/concat.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace oriolefall::bench {

namespace {

constexpr const char* loopback = "127.0.0.1";
/// Beyond the slots and the queue of a stand-in, for its controls.
constexpr std::uint32_t spare_threads = 16;

std::string instance_name(std::size_t index)
{
    return core::concat("entry-", index + 1);
}

std::string make_folder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "oriolefall-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no folder can be made for the fleet");
    return pattern;
}

std::string join(const std::vector<std::string>& words)
{
    std::string joined;
    for (const std::string& word : words)
        joined += (joined.empty() ? "" : ",") + word;
    return joined;
}

/// Arguments of the stand-in of a modelled server.
std::vector<std::string> stand_in_words(const trace_server& each)
{
    const core::backend_server& server = each.server;
    const server_speed& speed = each.speed;
    const std::uint32_t threads =
        server.slots + speed.queue_limit + spare_threads;
    if (server.kind == core::call_kind::service)
        return {"service",
                "--port",
                "0",
                "--id",
                server.id.value(),
                "--threads",
                core::concat(threads),
                "--delay-ms",
                core::concat(absl::ToInt64Milliseconds(speed.service_time))};
    std::vector<std::string> words{
        "engine",
        "--port",
        "0",
        "--id",
        server.id.value(),
        "--models",
        join(server.serves),
        "--slots",
        core::concat(server.slots),
        "--queue",
        core::concat(speed.queue_limit),
        "--step-ms",
        core::concat(absl::ToDoubleMilliseconds(speed.step)),
        "--step-growth",
        core::concat(absl::FDivDuration(speed.step_per_stream, speed.step)),
        "--prefill-tokens-per-s",
        core::concat(speed.prefill_tokens_per_s),
        "--threads",
        core::concat(threads)};
    if (server.checks_fencing)
        words.emplace_back("--checks-fencing");
    return words;
}

} // namespace

local_fleet::local_fleet(local_fleet_settings settings)
    : settings_(std::move(settings)), folder_(make_folder())
{
    start_platform();
    start_servers();
    start_instances();
}

local_fleet::~local_fleet()
{
    instances_.clear();
    servers_.clear();
    platform_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

int local_fleet::stop_instances()
{
    for (const auto& process : instances_)
        process->send_signal(SIGTERM);
    int status = EXIT_SUCCESS;
    for (const auto& process : instances_)
        status = std::max(status, process->await_exit());
    return status;
}

void local_fleet::start_platform()
{
    platform_ = start({"platform", "--port", "0"}, "platform");
    platform_endpoint_ = await_endpoint(*platform_, "platform");
}

void local_fleet::start_servers()
{
    for (const trace_server& each : settings_.header.servers)
        servers_.push_back(start(stand_in_words(each), each.server.id.value()));
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        core::backend_server& server = settings_.header.servers[i].server;
        server.endpoint = await_endpoint(*servers_[i], server.id.value());
    }
}

void local_fleet::start_instances()
{
    const std::string deployment =
        write_file("deployment.json", print_deployment(settings_.header));
    for (std::size_t i = 0; i < settings_.instances; ++i) {
        local_instance instance;
        instance.id = instance_name(i);
        instance.location = settings_.header.location;
        instance.platform = platform_endpoint_;
        instance.max_connections = settings_.max_connections;
        instance.backend_lanes = settings_.backend_lanes;
        instance.address_lifetime = settings_.address_lifetime;
        const std::string file =
            write_file(instance.id + ".json", print_instance(instance));
        instances_.push_back(
            start({"serve", "--instance", file, "--deployment", deployment},
                  instance.id));
    }
    for (std::size_t i = 0; i < instances_.size(); ++i)
        entries_.push_back(await_endpoint(*instances_[i], instance_name(i)));
}

core::endpoint local_fleet::await_endpoint(child_process& process,
                                           const std::string& name) const
{
    const std::uint16_t port = process.await_port();
    if (port != 0)
        return {loopback, port};
    std::ifstream log(folder_ + "/" + name + ".log");
    const std::string said{std::istreambuf_iterator<char>(log), {}};
    throw std::runtime_error("did not start: " + name + ": " + said);
}

std::string local_fleet::write_file(const std::string& name,
                                    const std::string& text) const
{
    std::string path = folder_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::unique_ptr<child_process>
local_fleet::start(std::vector<std::string> words,
                   const std::string& name) const
{
    const bool is_instance = words.front() == "serve";
    const std::string program =
        settings_.build_folder +
        (is_instance ? "/oriolefall" : "/oriolefall-standins");
    words.insert(words.begin(), program);
    return std::make_unique<child_process>(
        child_command{std::move(words), folder_ + "/" + name + ".log", {}});
}

std::string own_folder()
{
    return std::filesystem::read_symlink("/proc/self/exe")
        .parent_path()
        .string();
}

std::vector<core::endpoint> engines_of(const local_fleet& fleet)
{
    std::vector<core::endpoint> engines;
    for (const trace_server& each : fleet.header().servers) {
        if (each.server.kind == core::call_kind::generate)
            engines.push_back(each.server.endpoint);
    }
    return engines;
}

} // namespace oriolefall::bench

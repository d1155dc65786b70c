#ifndef ORIOLEFALL_BENCH_LOCAL_FLEET_HPP
#define ORIOLEFALL_BENCH_LOCAL_FLEET_HPP

#include "bench/child_process.hpp"
#include "bench/fleet_documents.hpp"
#include "bench/trace.hpp"
#include "oriolefall/core/backend_server.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// What a local fleet consists of.
struct local_fleet_settings
{
    /// Folder of the built programs.
    std::string build_folder;
    /// The classes, workspaces and backend servers.
    trace_header header;
    std::size_t instances = 1;
    std::size_t max_connections = 1024;
    std::size_t backend_lanes = 256;
    absl::Duration address_lifetime = absl::Seconds(1);
    std::partial_ordering
    operator<=>(const local_fleet_settings&) const = default;
};

/// Stand-ins and entry instances as processes on loopback, with a folder of
/// their own for settings and logs. One thread, which must outlive it.
class local_fleet
{
public:
    /// Starts all; throws std::runtime_error when a process does not.
    explicit local_fleet(local_fleet_settings settings);
    local_fleet(const local_fleet&) = delete;
    local_fleet& operator=(const local_fleet&) = delete;
    /// Kills what still runs and removes the folder.
    ~local_fleet();

    /// The trace's header with the endpoints of the stand-ins.
    [[nodiscard]] const trace_header& header() const noexcept
    {
        return settings_.header;
    }
    [[nodiscard]] const std::vector<core::endpoint>& entries() const noexcept
    {
        return entries_;
    }
    [[nodiscard]] child_process& instance(std::size_t index)
    {
        return *instances_.at(index);
    }
    [[nodiscard]] child_process& server(std::size_t index)
    {
        return *servers_.at(index);
    }
    /// Where the stand-in of this number in the header listens.
    [[nodiscard]] const core::endpoint& server_endpoint(std::size_t index) const
    {
        return settings_.header.servers.at(index).server.endpoint;
    }
    /// Where the stand-in of the platform listens.
    [[nodiscard]] const core::endpoint& platform_endpoint() const noexcept
    {
        return platform_endpoint_;
    }
    /// Stops the instances gracefully; the highest exit status.
    int stop_instances();
    [[nodiscard]] const std::string& folder() const noexcept
    {
        return folder_;
    }

private:
    void start_platform();
    void start_servers();
    void start_instances();
    /// Throws what the process said when it did not start.
    [[nodiscard]] core::endpoint await_endpoint(child_process& process,
                                                const std::string& name) const;
    [[nodiscard]] std::string write_file(const std::string& name,
                                         const std::string& text) const;
    [[nodiscard]] std::unique_ptr<child_process>
    start(std::vector<std::string> words, const std::string& name) const;

    local_fleet_settings settings_;
    std::string folder_;
    std::unique_ptr<child_process> platform_;
    core::endpoint platform_endpoint_;
    std::vector<std::unique_ptr<child_process>> servers_;
    std::vector<std::unique_ptr<child_process>> instances_;
    std::vector<core::endpoint> entries_;
};

/// Folder of the running program.
[[nodiscard]] std::string own_folder();

/// The stand-in engines of a fleet.
[[nodiscard]] std::vector<core::endpoint> engines_of(const local_fleet& fleet);

} // namespace oriolefall::bench

#endif

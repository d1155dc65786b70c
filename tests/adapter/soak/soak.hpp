#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_SOAK_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_SOAK_HPP

#include "tests/adapter/soak/caller.hpp"
#include "tests/adapter/soak/instance_process.hpp"
#include "tests/adapter/soak/schedule.hpp"
#include "tests/adapter/soak/world.hpp"

#include <filesystem>
#include <vector>

namespace oriolefall::soak {

struct soak_settings
{
    /// The shipped program.
    std::filesystem::path program;
    /// Takes settings files and logs; made when it isn't there.
    std::filesystem::path folder;
    std::uint64_t seed = 1;
    unsigned instances = 4;
    /// Disruptions come in this time.
    milliseconds disturbed{9000};
    /// Until the system must have recovered, and how long that is watched.
    milliseconds recovery{6000};
    milliseconds watched{2000};
    /// Least share of requests that is answered whole after that.
    double least_share = 0.9;
    std::partial_ordering operator<=>(const soak_settings&) const = default;
};

struct soak_result
{
    /// Each broken promise in one line.
    std::vector<std::string> broken;
    std::size_t attempts = 0;
    std::size_t answered = 0;
    std::string other_endings;
    double share_recovered = 0;
    std::partial_ordering operator<=>(const soak_result&) const = default;
};

/// Runs instances as processes before stand-ins of the store, the servers and
/// the callers, disturbs them by a schedule and judges what was seen. Blocks
/// the calling thread, which must live as long as the processes.
class soak
{
public:
    explicit soak(soak_settings settings);

    soak_result run();

private:
    struct member
    {
        std::unique_ptr<instance_process> process;
        std::shared_ptr<proxy> to_store;
        std::shared_ptr<proxy> from_callers;
        /// It was told to end, or is killed.
        bool is_ending = false;
        bool is_paused = false;
        clock::time_point must_end_by = clock::time_point::max();
    };

    void add_member(unsigned number);
    task<void> play();
    task<bool> await_ready();
    task<bool> is_ready(std::string address);
    task<void> watch(member& each);
    task<void> carry_out(step wanted);
    task<void> disturb_instance(step wanted);
    task<void> disturb_store(step wanted);
    task<void> disturb_server(step wanted);
    task<void> disturb_link(proxy& link, link_fault fault, milliseconds lasts);
    void kill(member& each);
    /// Bounds on time don't hold for these, during the step and a while after.
    void excuse(const member& each, const step& wanted);
    void excuse_all(const step& wanted);
    void judge_recovery(clock::time_point from, soak_result& result);

    soak_settings settings_;
    asio::io_context context_{1};
    ledger seen_;
    world world_;
    std::vector<std::unique_ptr<member>> members_;
    std::unique_ptr<caller> caller_;
    bool over_ = false;
    clock::time_point recovered_from_;
};

} // namespace oriolefall::soak

#endif

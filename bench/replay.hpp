#ifndef ORIOLEFALL_BENCH_REPLAY_HPP
#define ORIOLEFALL_BENCH_REPLAY_HPP

#include "bench/replay_metrics.hpp"
#include "bench/replay_policy.hpp"
#include "bench/replay_server.hpp"
#include "bench/trace.hpp"
#include "bench/virtual_clock.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// Replays one trace through one policy against modelled servers in virtual
/// time. Equal arguments give equal results. One run each.
class replay
{
public:
    /// The trace must outlive the replay.
    replay(const trace& replayed, replay_policy policy, std::uint64_t seed);

    [[nodiscard]] replay_result run();

private:
    struct load_sample
    {
        absl::Time at;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
    };

    /// A modelled server and how this instance reaches it.
    struct reached_server
    {
        explicit reached_server(replay_server modelled)
            : model(std::move(modelled))
        {
        }
        replay_server model;
        absl::Duration delay = absl::ZeroDuration();
        bool far = false;
        /// Faults that keep it from being reached at present.
        std::uint32_t cuts = 0;
        std::optional<std::uint32_t> lie;
        absl::Duration lag = absl::ZeroDuration();
        std::deque<load_sample> samples;
        absl::Time planned = absl::InfiniteFuture();
    };

    struct request_run
    {
        const trace_arrival* arrival = nullptr;
        std::uint64_t tokens = 0;
        bool caller_gone = false;
    };

    struct call_run
    {
        std::size_t request = 0;
        std::size_t server = 0;
        decision::start_call order;
        absl::Time last_byte;
        std::uint64_t tokens = 0;
        bool ended = false;
        bool ran = false;
    };

    struct claimed_key
    {
        bool in_progress = false;
        core::verdict outcome;
    };

    // The instance: events in, actions out.
    void give(const decision::event& event);
    void carry_out(const decision::start_call& order);
    void carry_out(const decision::cancel_call& order);
    void carry_out(const decision::claim_key& order);
    void carry_out(const decision::record_outcome& order);
    void carry_out(const decision::finish_request& order);
    void carry_out(const decision::record_decision&) {}
    void plan_tick();
    void end_call(core::call_id call, const core::verdict& verdict,
                  absl::Duration retry_after = absl::ZeroDuration());
    void watch_silence(core::call_id call);

    // The servers and the way to them.
    void add_server(const trace_server& server);
    void submit(core::call_id call);
    void plan_server(std::size_t server);
    void advance_server(std::size_t server);
    void show(std::size_t server, const std::vector<server_progress>& shown);
    void cut(reached_server& server);
    void report_loads();
    void report_load(reached_server& server);
    void account(const server_call& call);
    [[nodiscard]] core::verdict answer_of(const call_run& call) const;

    // The trace.
    void plan_trace();
    void arrive(std::size_t arrival);
    void begin(const trace_fault& fault);
    void end(const trace_fault& fault);
    void set_cut(const trace_fault& fault, bool is_cut);
    [[nodiscard]] reached_server& server_of(const trace_fault& fault);
    void apply_table();

    const trace& trace_;
    replay_policy policy_;
    std::uint64_t seed_;
    virtual_clock clock_;
    absl::Time end_;
    std::uint64_t table_version_ = 0;
    std::deque<reached_server> servers_;
    absl::flat_hash_map<std::string, std::size_t> server_indices_;
    std::vector<request_run> requests_;
    absl::flat_hash_map<core::call_id, call_run> calls_;
    /// Work of calls, in the order in which they ended at their servers.
    std::vector<server_call> work_;
    std::map<std::string, claimed_key> claims_;
    std::map<std::string, std::uint64_t> runs_;
    replay_result result_;
    absl::Time planned_tick_ = absl::InfiniteFuture();
};

} // namespace oriolefall::bench

#endif

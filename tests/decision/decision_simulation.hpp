#ifndef ORIOLEFALL_TESTS_DECISION_DECISION_SIMULATION_HPP
#define ORIOLEFALL_TESTS_DECISION_DECISION_SIMULATION_HPP

#include "oriolefall/decision/decider.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolefall::tests {

/// Simulation of a decider with servers, callers and a store whose events come
/// in any order. Each action of the decider is checked against its invariants;
/// `expect` fails with the text of the violated one.
class decision_simulation
{
public:
    decision_simulation();

    /// Simulates one event, selected by `choice`.
    void apply_choice(std::uint32_t choice);
    /// Ends all calls and claims; expects every request to finish.
    void drain();
    /// Replays the events to a new decider and expects equal actions.
    void expect_determinism() const;

    /// A request of a class arrives.
    void arrive(const std::string& class_name, std::uint32_t workspace);
    void advance(absl::Duration time);
    /// Ends the oldest open call successfully.
    void end_oldest();
    [[nodiscard]] std::size_t open_calls() const
    {
        return calls_.size();
    }
    /// Number of requests of a class with a complete answer.
    [[nodiscard]] std::size_t
    answered_count(const std::string& class_name) const;

private:
    struct request_model
    {
        core::request request;
        const core::service_class* service_class = nullptr;
        bool is_finished = false;
        bool is_claimed = false;
        bool is_claim_requested = false;
        bool is_recorded = false;
        bool caller_gone = false;
        bool may_have_run = false;
        /// Waits in a queue of the decider.
        bool is_queued = false;
        bool has_granted_share = false;
        std::uint64_t tokens = 0;
        std::size_t open_calls = 0;
        bool is_answered = false;
    };
    struct call_model
    {
        std::uint64_t request = 0;
        std::string server;
        std::uint64_t tokens = 0;
    };

    void step(const decision::event& event);
    void expect(bool holds, const std::string& rule) const;
    void on(const decision::start_call& action);
    void on(const decision::cancel_call& action);
    void on(const decision::claim_key& action);
    void on(const decision::record_outcome& action);
    void on(const decision::finish_request& action);
    void on(const decision::record_decision& action);

    void expect_no_higher_tier_waits(const request_model& request,
                                     const std::string& server) const;
    void answer_claim(std::uint32_t choice);
    void progress_call(std::uint32_t choice);
    void end_call(std::uint32_t choice);
    void disconnect_caller(std::uint32_t choice);
    void change_table(std::uint32_t choice);
    void report_load(std::uint32_t choice);
    void end(core::call_id call, const core::verdict& verdict,
             absl::Duration retry_after = absl::ZeroDuration());
    [[nodiscard]] request_model& model_of(core::request_id id);
    [[nodiscard]] std::uint64_t pick_call(std::uint32_t choice) const;

    decision::decider_settings settings_;
    decision::decider decider_;
    decision::routing_table table_;
    absl::Time now_ = absl::UnixEpoch();
    std::uint64_t next_request_ = 1;
    std::map<std::uint64_t, request_model> requests_;
    std::map<std::uint64_t, call_model> calls_;
    std::vector<std::uint64_t> claims_;
    bool is_shut_down_ = false;
    bool is_draining_ = false;
    std::vector<std::pair<absl::Time, decision::event>> events_;
    std::vector<decision::action> actions_;
};

} // namespace oriolefall::tests

#endif

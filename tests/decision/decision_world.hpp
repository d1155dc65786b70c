#ifndef ORIOLEFALL_TESTS_DECISION_DECISION_WORLD_HPP
#define ORIOLEFALL_TESTS_DECISION_DECISION_WORLD_HPP

#include "oriolefall/decision/decider.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolefall::tests {

/// A decider among servers, callers and a platform that do anything in any
/// order, with the rules that must hold after each of its actions. `check`
/// fails with the name of the rule that was broken.
class decision_world
{
public:
    decision_world();

    /// Does one of the things that may happen, chosen by `choice`.
    void act(std::uint32_t choice);
    /// Lets everything come to its end; every request must.
    void drain();
    /// Gives the recorded events to a new decider; the actions must be equal.
    void check_determinism() const;

    /// One request of a class.
    void arrive(const std::string& class_name, std::uint32_t workspace);
    void pass(absl::Duration time);
    /// Ends the oldest open call well.
    void end_oldest();
    [[nodiscard]] std::size_t open_calls() const
    {
        return calls_.size();
    }
    /// Requests of a class that were answered whole.
    [[nodiscard]] std::size_t served(const std::string& class_name) const;

private:
    struct request_model
    {
        core::request request;
        const core::service_class* rules = nullptr;
        bool ended = false;
        bool claimed = false;
        bool claim_asked = false;
        bool recorded = false;
        bool caller_gone = false;
        bool may_have_run = false;
        /// Waits in a queue for a server.
        bool queued = false;
        bool granted_share = false;
        std::uint64_t tokens = 0;
        std::size_t open_calls = 0;
        bool ran = false;
    };
    struct call_model
    {
        std::uint64_t request = 0;
        std::string server;
        std::uint64_t tokens = 0;
    };

    void give(const decision::event& event);
    void check(bool held, const std::string& rule) const;
    void on(const decision::start_call& action);
    void on(const decision::cancel_call& action);
    void on(const decision::claim_key& action);
    void on(const decision::record_outcome& action);
    void on(const decision::finish_request& action);
    void on(const decision::record_decision& action);

    void check_no_higher_waits(const request_model& request,
                               const std::string& server) const;
    void answer_claim(std::uint32_t choice);
    void progress(std::uint32_t choice);
    void end_call(std::uint32_t choice);
    void leave(std::uint32_t choice);
    void change_table(std::uint32_t choice);
    void report(std::uint32_t choice);
    void end(core::call_id call, const core::verdict& verdict,
             absl::Duration retry_after = absl::ZeroDuration());
    [[nodiscard]] request_model& model_of(core::request_id id);
    [[nodiscard]] std::uint64_t pick_call(std::uint32_t choice) const;

    decision::decider_settings settings_;
    decision::decider subject_;
    decision::routing_table table_;
    absl::Time now_ = absl::UnixEpoch();
    std::uint64_t next_request_ = 1;
    std::map<std::uint64_t, request_model> requests_;
    std::map<std::uint64_t, call_model> calls_;
    std::vector<std::uint64_t> claims_;
    bool is_shut_down_ = false;
    bool drains_ = false;
    std::vector<std::pair<absl::Time, decision::event>> events_;
    std::vector<decision::action> actions_;
};

} // namespace oriolefall::tests

#endif

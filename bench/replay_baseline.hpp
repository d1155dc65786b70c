#ifndef ORIOLEFALL_BENCH_REPLAY_BASELINE_HPP
#define ORIOLEFALL_BENCH_REPLAY_BASELINE_HPP

#include "oriolefall/decision/action.hpp"
#include "oriolefall/decision/event.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// A server as a baseline policy sees it.
struct baseline_server
{
    core::backend_server server;
    /// Own calls in flight.
    std::uint32_t in_flight = 0;
};

/// Chooses one of `servers` (never empty); nothing to let the request wait.
using baseline_choice = std::function<std::optional<std::size_t>(
    const std::vector<baseline_server*>& servers)>;

/// A simple router to compare with: one queue in order of arrival and a rule
/// that chooses the server. It gives up at the deadline, cancels the calls of
/// callers that left, keeps away from leaving servers, and tries a request
/// again when that is safe. It knows no tiers, shares or targets.
class baseline_policy
{
public:
    explicit baseline_policy(baseline_choice choose);

    void step(absl::Time now, const decision::event& event,
              std::vector<decision::action>& out);
    [[nodiscard]] absl::Time next_tick() const;

private:
    using actions = std::vector<decision::action>;

    struct request_record
    {
        core::request request;
        absl::Time deadline;
        bool idempotent = true;
        bool may_have_run = false;
        bool caller_gone = false;
        std::uint32_t attempts = 0;
        std::uint32_t max_attempts = 1;
        std::optional<core::call_id> call = std::nullopt;
    };
    struct call_record
    {
        core::request_id request;
        std::string server;
        bool has_byte = false;
    };

    void on(absl::Time now, const decision::request_arrived& event,
            actions& out);
    void on(absl::Time now, const decision::caller_gone& event, actions& out);
    void on(absl::Time now, const decision::call_progressed& event,
            actions& out);
    void on(absl::Time now, const decision::call_ended& event, actions& out);
    void on(absl::Time now, const decision::table_applied& event, actions& out);
    template <class Other>
    void on(absl::Time, const Other&, actions&)
    {
    }

    void dispatch(absl::Time now, actions& out);
    bool try_start(request_record& record, actions& out);
    void finish(core::request_id request, const core::verdict& verdict,
                actions& out);

    baseline_choice choose_;
    decision::routing_table_ptr table_;
    absl::flat_hash_map<std::string, baseline_server> servers_;
    absl::flat_hash_map<core::request_id, request_record> requests_;
    absl::flat_hash_map<core::call_id, call_record> calls_;
    std::deque<core::request_id> queue_;
    std::uint64_t next_call_ = 1;
    absl::Time next_deadline_ = absl::InfiniteFuture();
};

} // namespace oriolefall::bench

#endif

#ifndef ORIOLEFALL_DECISION_DECIDER_HPP
#define ORIOLEFALL_DECISION_DECIDER_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/decision/action.hpp"
#include "oriolefall/decision/decider_settings.hpp"
#include "oriolefall/decision/event.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace oriolefall::decision {

/// Decides where requests go, when, and how each of them ends. A state
/// machine: no input or output, no clock, no lock. The same events at the
/// same times give the same actions. One thread at a time.
class decider
{
public:
    explicit decider(decider_settings settings);

    /// Takes one event at `now` and adds the resulting actions to `out`.
    /// `now` never goes back from one call to the next.
    void step(absl::Time now, const event& event, std::vector<action>& out);

    /// When a `tick` is due at the latest, if nothing else happens.
    [[nodiscard]] absl::Time next_tick() const;

    /// Requests that were taken and have not ended.
    [[nodiscard]] std::size_t open_requests() const;

private:
    struct open_request
    {
        core::request request;
        core::call_id call;
    };

    void on(absl::Time now, const request_arrived& event,
            std::vector<action>& out);
    void on(absl::Time now, const caller_gone& event, std::vector<action>& out);
    void on(absl::Time now, const call_ended& event, std::vector<action>& out);
    void on(absl::Time now, const table_applied& event,
            std::vector<action>& out);
    template <class Other>
    void on(absl::Time, const Other&, std::vector<action>&)
    {
    }

    decider_settings settings_;
    routing_table_ptr table_;
    std::uint64_t next_call_ = 1;
    absl::flat_hash_map<core::request_id, open_request> requests_;
    absl::flat_hash_map<core::call_id, core::request_id> calls_;
};

} // namespace oriolefall::decision

#endif

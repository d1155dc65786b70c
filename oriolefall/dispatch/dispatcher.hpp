#ifndef ORIOLEFALL_DISPATCH_DISPATCHER_HPP
#define ORIOLEFALL_DISPATCH_DISPATCHER_HPP

#include "oriolefall/dispatch/action.hpp"
#include "oriolefall/dispatch/dispatch_settings.hpp"
#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/dispatch/fleet_load.hpp"
#include "oriolefall/dispatch/service_pool.hpp"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace oriolefall::dispatch {

/// Decides where requests go, what is sent once more and how requests end. A
/// state machine: no input or output, no clock, no codec; equal events at
/// equal times with equal random numbers give equal actions. One thread at a
/// time.
class dispatcher
{
public:
    dispatcher(dispatch_settings settings, dispatch_hooks hooks);

    /// Takes one event at `now` and adds the resulting actions to `out`.
    void step(absl::Time now, const event& event, std::vector<action>& out);
    /// When a `tick` is due at the latest.
    [[nodiscard]] absl::Time next_tick() const;
    [[nodiscard]] std::size_t open_requests() const;

private:
    struct open_call
    {
        core::call_id id;
        core::backend_server_id server;
        absl::Time sent_at;
        /// Prompt tokens that the server still has to read for it.
        std::uint32_t tokens_to_read = 0;
        /// To the first event, in ms.
        double expected_ms = 0;
        bool is_read = false;
        absl::Time answered_at = absl::InfinitePast();
    };

    struct open_request
    {
        arrival facts;
        /// Keeps `route` and `workspace` alive.
        std::shared_ptr<const routing::route_table> table;
        const routing::route* route = nullptr;
        const routing::workspace* workspace = nullptr;
        routing::service_name service;
        /// The service's servers are model engines.
        bool is_engine = false;
        /// Servers that it was sent to, each once.
        std::vector<core::backend_server_id> tried;
        /// Servers that could not be reached for it.
        std::vector<core::backend_server_id> unreachable;
        std::optional<open_call> call;
        /// Some call may have run.
        bool may_have_run = false;
        /// Bytes of an answer have gone to the caller.
        bool answer_begun = false;
        absl::Time ends_at = absl::InfiniteFuture();
    };
    using request_map = absl::flat_hash_map<std::uint64_t, open_request>;
    using server_map =
        std::map<core::backend_server_id, std::unique_ptr<server_state>>;

    void on(const arrival& event);
    void on(const caller_left& event);
    void on(const call_not_run& event);
    void on(const call_broken& event);
    void on(const call_silent& event);
    void on(const call_answered& event);
    void on(const call_failed& event);
    void on(const call_done& event);
    void on(const routes_changed& event);
    void on(const servers_changed& event);
    void on(const repeats_changed& event);
    void on(const fleet_changed& event);
    void on(const load_heard& event);
    void on(const tick& event);

    [[nodiscard]] std::optional<refusal> refuse_at_once(open_request& request);
    [[nodiscard]] routing::service_name choose_service(const routing::route&);
    /// Sends the request to a server, or ends it.
    void place(open_request& request, refusal without_server);
    /// The server for one more call, taken from the budget; nothing when a
    /// bound forbids it.
    [[nodiscard]] std::optional<server_view>
    choose_for_repeat(const open_request& request);
    /// Sends it once more when all bounds allow; false when not.
    [[nodiscard]] bool place_again(open_request& request);
    [[nodiscard]] bool may_repeat(const open_request& request) const;
    [[nodiscard]] std::optional<server_view>
    choose_server(const open_request& request);
    [[nodiscard]] bool is_candidate(const open_request& request,
                                    const server_state& server) const;
    /// The priority of the workspace goes first, then that of the route: what
    /// a workspace asks for keeps its order among the workspace's requests.
    [[nodiscard]] static std::uint32_t urgency_of(const open_request& request);
    [[nodiscard]] static bool is_usable(const open_request& request,
                                        const server_state& server);
    void send(open_request& request, const server_view& view);
    /// When silence is to be told, for work that may be sent once more.
    void set_silence_limits(const open_request& request, double expected_ms,
                            send_call& order) const;
    [[nodiscard]] service_pool& pool_of(const routing::service_name& name);
    void report_load();
    void set_cache_sizes();
    void note_late(const open_request& request);
    void end(open_request& request, refusal cause);
    void close_call(open_request& request);
    void forget(core::request_id id);
    void cancel(open_request& request);
    [[nodiscard]] open_request* find(core::request_id id, core::call_id call);
    [[nodiscard]] server_state* server_of(const open_request& request);
    void note_load(const open_request& request,
                   const std::optional<server_load>& load);
    [[nodiscard]] repeat_budget& budget_of(const routing::service_name& name);
    [[nodiscard]] std::uint32_t connection_share(const open_request&) const;
    [[nodiscard]] absl::Duration come_back_base(refusal cause) const;
    [[nodiscard]] absl::Duration come_back(refusal cause);
    /// What the log gets of a request, with what is known of it now.
    [[nodiscard]] decision_note describe(const open_request& request,
                                         decision what) const;
    void note(const open_request& request, decision what,
              std::string_view cause = {}, int status = 0);
    void note_sent(const open_request& request, const server_view& view);
    void note_answer(const open_request& request, const call_done& event);
    void note_refused(const open_request& request, refusal cause);
    /// Lets the server take note of how a call went, and logs it when the
    /// server is left out or taken back for it.
    void judge(server_state& server,
               void (server_state::*taking_note)(absl::Time));

    dispatch_settings settings_;
    dispatch_hooks hooks_;
    std::shared_ptr<const routing::route_table> table_;
    bool servers_known_ = false;
    server_map servers_;
    std::map<routing::service_name, service_pool> pools_;
    fleet_load others_;
    std::map<routing::service_name, repeat_budget> budgets_;
    request_map requests_;
    std::set<std::pair<absl::Time, std::uint64_t>> ends_;
    /// That share budgets and connection limits.
    std::uint32_t instances_ = 1;
    absl::Time report_at_ = absl::InfiniteFuture();
    std::uint64_t next_call_ = 1;
    absl::Time now_ = absl::InfinitePast();
    std::vector<action>* out_ = nullptr;
};

} // namespace oriolefall::dispatch

#endif

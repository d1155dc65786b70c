#ifndef ORIOLEFALL_DAEMON_INSTANCE_HPP
#define ORIOLEFALL_DAEMON_INSTANCE_HPP

#include "oriolefall/backend/call_worker_pool.hpp"
#include "oriolefall/core/latest_value.hpp"
#include "oriolefall/daemon/claim_duty.hpp"
#include "oriolefall/daemon/decider_thread.hpp"
#include "oriolefall/daemon/fleet_duties.hpp"
#include "oriolefall/daemon/instance_options.hpp"
#include "oriolefall/daemon/move_duties.hpp"
#include "oriolefall/daemon/request_ids.hpp"
#include "oriolefall/front/server.hpp"
#include "oriolefall/observe/recorder.hpp"

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace oriolefall::daemon {

/// An instance: its duty threads and the rings between them. Constructed,
/// started and stopped on one thread.
class instance
{
public:
    explicit instance(const instance_options& options);
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;
    ~instance();

    /// Starts all threads. False when an address cannot be bound.
    [[nodiscard]] bool start();
    /// The port that callers connect to.
    [[nodiscard]] std::uint16_t port() const;

    /// Announces that this instance is leaving: callers are no longer given
    /// its address, but it still answers requests.
    void leave();
    /// Refuses all requests that arrive after this call.
    void refuse_new_requests();
    /// Number of requests that have not finished. Thread-safe.
    [[nodiscard]] std::size_t open_requests() const;

    /// Writes a log entry. Thread-safe.
    void log(observe::log_level level, std::string message);

private:
    [[nodiscard]] front::handlers make_handlers();
    [[nodiscard]] action_hooks make_action_hooks();
    [[nodiscard]] backend::call_hooks make_call_hooks();
    [[nodiscard]] std::vector<core::model_name> models() const;
    [[nodiscard]] std::optional<core::service_class>
    find_class(const core::class_name& name) const;
    [[nodiscard]] front::entry_answer
    entry(const core::workspace_id& workspace) const;
    [[nodiscard]] std::string status() const;
    void apply(const objects::settings_in_force& next);
    void report(observe::record record);

    instance_options options_;
    std::uint64_t incarnation_;
    request_ids request_ids_;
    core::latest_value<decision::routing_table> table_;
    std::atomic<bool> is_leaving_ = false;
    observe::recorder recorder_;
    decider_thread decider_;
    std::unique_ptr<backend::call_worker_pool> call_workers_;
    std::unique_ptr<claim_duty> claims_;
    std::unique_ptr<fleet_duties> fleet_;
    std::unique_ptr<move_duties> moves_;
    std::unique_ptr<front::server> front_server_;
};

} // namespace oriolefall::daemon

#endif

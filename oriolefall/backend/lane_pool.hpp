#ifndef ORIOLEFALL_BACKEND_LANE_POOL_HPP
#define ORIOLEFALL_BACKEND_LANE_POOL_HPP

#include "oriolefall/backend/call_control.hpp"
#include "oriolefall/backend/call_order.hpp"
#include "oriolefall/backend/call_runner.hpp"
#include "oriolefall/backend/lane_settings.hpp"
#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <mutex>
#include <vector>

namespace oriolefall::backend {

/// Threads that carry out calls to backend servers, one call each at a time.
/// Any thread may start and cancel calls.
class lane_pool
{
public:
    lane_pool(const lane_settings& settings, lane_hooks hooks);
    lane_pool(const lane_pool&) = delete;
    lane_pool& operator=(const lane_pool&) = delete;
    /// Cancels what still runs and joins the threads.
    ~lane_pool();

    /// Hands a call to the lanes. Never blocks. False when too many wait; its
    /// `ended` is then not called.
    bool try_start(call_order order);

    /// Stops a call, waiting or running. Its `ended` is still called. Never
    /// blocks: a thread of its own closes the connection.
    void cancel(core::call_id call);

private:
    struct lane_work
    {
        call_order order;
        std::shared_ptr<call_control> control;
    };

    void run_lane();
    void run_canceller();
    void run_call(const lane_work& work);
    std::shared_ptr<call_control> find(core::call_id call);
    void forget(core::call_id call);
    void cancel_all();

    lane_settings settings_;
    lane_hooks hooks_;
    connection_cache connections_;
    core::bounded_ring<lane_work> work_;
    std::mutex mutex_;
    absl::flat_hash_map<core::call_id, std::shared_ptr<call_control>> controls_;
    core::bounded_ring<std::shared_ptr<call_control>> cancelled_;
    std::vector<core::duty_thread> threads_;
};

} // namespace oriolefall::backend

#endif

#ifndef ORIOLEFALL_BACKEND_CALL_WORKER_POOL_HPP
#define ORIOLEFALL_BACKEND_CALL_WORKER_POOL_HPP

#include "oriolefall/backend/call_control.hpp"
#include "oriolefall/backend/call_runner.hpp"
#include "oriolefall/backend/call_task.hpp"
#include "oriolefall/backend/call_worker_settings.hpp"
#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <mutex>
#include <vector>

namespace oriolefall::backend {

/// A pool of worker threads for calls to backend servers; each worker runs one
/// call at a time. Thread-safe.
class call_worker_pool
{
public:
    call_worker_pool(const call_worker_settings& settings, call_hooks hooks);
    call_worker_pool(const call_worker_pool&) = delete;
    call_worker_pool& operator=(const call_worker_pool&) = delete;
    /// Cancels all calls and joins the threads.
    ~call_worker_pool();

    /// Queues a call for the workers. Never blocks. Returns false if the queue
    /// is full; the call's `on_ended` is then not called.
    bool try_start(call_task task);

    /// Cancels a queued or running call. Its `on_ended` is still called. Never
    /// blocks, because a separate thread closes the connection.
    void cancel(core::call_id call);

private:
    struct queued_call
    {
        call_task task;
        std::shared_ptr<call_control> control;
    };

    void run_worker();
    void run_canceller();
    void run_call(const queued_call& queued);
    std::shared_ptr<call_control> find_control(core::call_id call);
    void remove_control(core::call_id call);
    void cancel_all();

    call_worker_settings settings_;
    call_hooks hooks_;
    connection_cache connections_;
    core::bounded_ring<queued_call> tasks_;
    std::mutex mutex_;
    absl::flat_hash_map<core::call_id, std::shared_ptr<call_control>> controls_;
    core::bounded_ring<std::shared_ptr<call_control>> to_close_;
    std::vector<core::duty_thread> threads_;
};

} // namespace oriolefall::backend

#endif

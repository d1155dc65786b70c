#ifndef ORIOLEFALL_OBJECTS_CLAIM_WORKER_HPP
#define ORIOLEFALL_OBJECTS_CLAIM_WORKER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/decision/action.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/objects/claim_store.hpp"

#include <cstddef>
#include <functional>
#include <variant>

namespace oriolefall::objects {

/// A claim to make, or an outcome to record.
using claim_task = std::variant<decision::claim_key, decision::record_outcome>;

/// Called with true when the platform stored an outcome and with false when it
/// did not; feeds a counter.
using outcome_recorded_hook = std::function<void(bool)>;

/// Executes claim tasks in order on a thread of its own. Several workers may
/// share the load as long as all tasks of one key go to the same worker
/// (`worker_index`).
class claim_worker
{
public:
    using key_claimed_hook = std::function<void(decision::key_claimed)>;

    /// `on_claimed` and `on_recorded` are called on the worker thread.
    /// `stop_store` ends a call of `store` that is in progress.
    claim_worker(object_store store, std::function<void()> stop_store,
                 std::string holder, std::size_t capacity,
                 key_claimed_hook on_claimed,
                 outcome_recorded_hook on_recorded);
    claim_worker(const claim_worker&) = delete;
    claim_worker& operator=(const claim_worker&) = delete;
    /// Executes the queued tasks as far as the store still answers, and joins
    /// the thread.
    ~claim_worker();

    /// Never blocks. Returns false when the queue is full; the claim then
    /// counts as unavailable.
    [[nodiscard]] bool submit(claim_task task);

    /// Index below `worker_count` of the worker that executes all tasks of
    /// the key of `task`.
    [[nodiscard]] static std::size_t worker_index(const claim_task& task,
                                                  std::size_t worker_count);

private:
    void run();
    void execute(const decision::claim_key& task);
    void execute(const decision::record_outcome& task);

    claim_store claims_;
    std::function<void()> stop_store_;
    key_claimed_hook on_claimed_;
    outcome_recorded_hook on_recorded_;
    core::bounded_ring<claim_task> tasks_;
    core::duty_thread thread_;
};

} // namespace oriolefall::objects

#endif

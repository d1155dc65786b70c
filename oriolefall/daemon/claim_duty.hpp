#ifndef ORIOLEFALL_DAEMON_CLAIM_DUTY_HPP
#define ORIOLEFALL_DAEMON_CLAIM_DUTY_HPP

#include "oriolefall/daemon/platform_client.hpp"
#include "oriolefall/objects/claim_worker.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace oriolefall::daemon {

/// Claims idempotency keys with a pool of workers, each with a thread and a
/// connection of its own. All tasks of one key go to the same worker.
class claim_duty
{
public:
    /// `on_claimed` is called on a worker's thread and may block it.
    claim_duty(const platform_access& access, std::size_t worker_count,
               const objects::claim_worker::key_claimed_hook& on_claimed);

    /// Queues a task. Never blocks; false when the worker's queue is full.
    /// Thread-safe.
    [[nodiscard]] bool submit(const objects::claim_task& task);

private:
    struct worker
    {
        std::unique_ptr<objects::client> client;
        std::unique_ptr<objects::claim_worker> task_worker;
    };

    [[nodiscard]] static worker
    make_worker(const platform_access& access, std::size_t number,
                const objects::claim_worker::key_claimed_hook& on_claimed);

    std::vector<worker> workers_;
};

} // namespace oriolefall::daemon

#endif

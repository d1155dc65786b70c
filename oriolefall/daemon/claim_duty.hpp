#ifndef ORIOLEFALL_DAEMON_CLAIM_DUTY_HPP
#define ORIOLEFALL_DAEMON_CLAIM_DUTY_HPP

#include "oriolefall/daemon/platform_client.hpp"
#include "oriolefall/objects/claim_worker.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace oriolefall::daemon {

/// Claims of idempotency keys, spread over lanes with a thread and a
/// connection each; all orders of one key go to the same lane.
class claim_duty
{
public:
    /// `claimed` is called on a lane's thread and may wait there.
    claim_duty(const platform_access& access, std::size_t lanes,
               const objects::claim_worker::key_claimed_hook& claimed);

    /// Never blocks. False when there is no room. Any thread.
    [[nodiscard]] bool submit(const objects::claim_task& order);

private:
    struct lane
    {
        std::unique_ptr<objects::client> client;
        std::unique_ptr<objects::claim_worker> claims;
    };

    [[nodiscard]] static lane
    make_lane(const platform_access& access, std::size_t number,
              const objects::claim_worker::key_claimed_hook& claimed);

    std::vector<lane> lanes_;
};

} // namespace oriolefall::daemon

#endif

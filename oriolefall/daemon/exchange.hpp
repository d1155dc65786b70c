#ifndef ORIOLEFALL_DAEMON_EXCHANGE_HPP
#define ORIOLEFALL_DAEMON_EXCHANGE_HPP

#include "oriolefall/core/answer.hpp"
#include "oriolefall/core/request.hpp"
#include "oriolefall/core/service_class.hpp"
#include "oriolefall/front/handlers.hpp"
#include "oriolefall/observe/record.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace oriolefall::daemon {

/// An open request with the state that decisions do not need: its payload,
/// its answer ring and its measurements. Used on the decider thread only.
class exchange
{
public:
    /// Reserves a place in the answer ring for the answer's end, so that
    /// finishing never fails for a full ring.
    exchange(front::submission submission,
             std::optional<core::service_class> service_class,
             absl::Time arrived_at);

    [[nodiscard]] const front::submission& submission() const;

    /// Records that a call to `server` was started.
    void record_call(const core::backend_server_id& server);
    /// Records that `tokens` tokens in total, counted from the start of the
    /// answer, have arrived by `now`.
    void record_progress(std::uint64_t tokens, absl::Time now);

    /// Ends the answer and returns the record of the finished request.
    [[nodiscard]] observe::request_finished finish(const core::verdict& verdict,
                                                   absl::Duration retry_after,
                                                   absl::Time now);

private:
    [[nodiscard]] bool
    is_target_attained(const observe::request_finished& end) const;

    front::submission submission_;
    std::optional<core::answer_ring::reservation> end_reservation_;
    std::optional<core::service_class> service_class_;
    absl::Time arrived_at_;
    absl::Time first_token_at_ = absl::InfiniteFuture();
    std::uint64_t token_count_ = 0;
    std::uint32_t call_count_ = 0;
    core::backend_server_id last_server_;
};

} // namespace oriolefall::daemon

#endif

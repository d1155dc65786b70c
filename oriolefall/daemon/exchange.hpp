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

/// One open request: what the decisions do not need, and what is measured.
/// Used by the decider's thread only.
class exchange
{
public:
    /// Takes the place of the answer's end, so that it always finds room.
    exchange(front::submission submission,
             std::optional<core::service_class> service_class,
             absl::Time arrived);

    [[nodiscard]] const front::submission& submission() const;

    /// A call to `server` was started.
    void call_started(const core::backend_server_id& server);
    /// So many tokens of the answer, from its start, have come by `now`.
    void progressed(std::uint64_t tokens, absl::Time now);

    /// Ends the answer and gives what is to be recorded.
    [[nodiscard]] observe::request_finished finish(const core::verdict& verdict,
                                                   absl::Duration retry_after,
                                                   absl::Time now);

private:
    [[nodiscard]] bool attained(const observe::request_finished& end) const;

    front::submission submission_;
    std::optional<core::answer_ring::reservation> end_;
    std::optional<core::service_class> service_class_;
    absl::Time arrived_;
    absl::Time first_token_ = absl::InfiniteFuture();
    std::uint64_t tokens_ = 0;
    std::uint32_t calls_ = 0;
    core::backend_server_id server_;
};

} // namespace oriolefall::daemon

#endif

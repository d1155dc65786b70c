#include "oriolefall/daemon/exchange.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::daemon {

exchange::exchange(front::submission submission,
                   std::optional<core::service_class> service_class,
                   absl::Time arrived)
    : submission_(std::move(submission)),
      end_(submission_.answers->try_reserve()),
      service_class_(std::move(service_class)), arrived_(arrived)
{
}

const front::submission& exchange::submission() const
{
    return submission_;
}

void exchange::call_started(const core::backend_server_id& server)
{
    ++calls_;
    server_ = server;
}

void exchange::progressed(std::uint64_t tokens, absl::Time now)
{
    if (tokens > 0)
        first_token_ = std::min(first_token_, now);
    tokens_ = std::max(tokens_, tokens);
}

observe::request_finished exchange::finish(const core::verdict& verdict,
                                           absl::Duration retry_after,
                                           absl::Time now)
{
    // No reservation: the caller's thread has closed the ring already.
    if (end_)
        end_->fill(core::answer_end{verdict, retry_after});
    observe::request_finished end{.request = submission_.request.id,
                                  .workspace = submission_.request.workspace,
                                  .service_class =
                                      submission_.request.service_class,
                                  .server = server_,
                                  .verdict = verdict,
                                  .calls = calls_,
                                  .first_token_time = first_token_ - arrived_,
                                  .whole_answer_time = now - arrived_,
                                  .tokens = tokens_};
    if (service_class_)
        end.tier = service_class_->tier;
    end.attained = attained(end);
    return end;
}

bool exchange::attained(const observe::request_finished& end) const
{
    if (!service_class_ || !std::holds_alternative<core::ran>(end.verdict))
        return false;
    const core::latency_target& target = service_class_->target;
    if (end.whole_answer_time > target.whole_answer)
        return false;
    if (service_class_->kind == core::call_kind::service)
        return true;
    if (end.first_token_time > target.first_token)
        return false;
    if (end.tokens < 2)
        return true;
    const absl::Duration streaming =
        end.whole_answer_time - end.first_token_time;
    const auto gaps = static_cast<std::int64_t>(end.tokens - 1);
    return streaming / gaps <= target.between_tokens;
}

} // namespace oriolefall::daemon

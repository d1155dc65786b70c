#include "oriolefall/daemon/exchange.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::daemon {

exchange::exchange(front::submission submission,
                   std::optional<core::service_class> service_class,
                   absl::Time arrived_at)
    : submission_(std::move(submission)),
      end_reservation_(submission_.answers->try_reserve()),
      service_class_(std::move(service_class)), arrived_at_(arrived_at)
{
}

const front::submission& exchange::submission() const
{
    return submission_;
}

void exchange::record_call(const core::backend_server_id& server)
{
    ++call_count_;
    last_server_ = server;
}

void exchange::record_progress(std::uint64_t tokens, absl::Time now)
{
    if (tokens > 0)
        first_token_at_ = std::min(first_token_at_, now);
    token_count_ = std::max(token_count_, tokens);
}

observe::request_finished exchange::finish(const core::verdict& verdict,
                                           absl::Duration retry_after,
                                           absl::Time now)
{
    // There is no reservation when the caller's thread closed the ring before
    // the request arrived here.
    if (end_reservation_)
        end_reservation_->fill(core::answer_end{verdict, retry_after});
    observe::request_finished end{
        .request = submission_.request.id,
        .workspace = submission_.request.workspace,
        .service_class = submission_.request.service_class,
        .server = last_server_,
        .verdict = verdict,
        .calls = call_count_,
        .first_token_time = first_token_at_ - arrived_at_,
        .whole_answer_time = now - arrived_at_,
        .tokens = token_count_};
    if (service_class_)
        end.tier = service_class_->tier;
    end.attained = is_target_attained(end);
    return end;
}

bool exchange::is_target_attained(const observe::request_finished& end) const
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

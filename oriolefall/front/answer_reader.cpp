#include "oriolefall/front/answer_reader.hpp"

#include "oriolefall/core/clock.hpp"

#include <cassert>
#include <utility>

namespace oriolefall::front {

namespace {

core::answer_end broken_answer_end()
{
    core::answer_end end;
    end.verdict = core::may_have_run{core::reason::connection_lost};
    return end;
}

} // namespace

answer_reader::answer_reader(
    core::request_id request, core::answer_ring_ptr answers,
    absl::Duration check_interval,
    std::function<void(core::request_id)> on_caller_gone)
    : request_(request), answers_(std::move(answers)),
      check_interval_(check_interval),
      on_caller_gone_(std::move(on_caller_gone))
{
}

std::optional<core::answer_part>
answer_reader::next(const connection_check& is_caller_connected)
{
    assert(!has_ended_);
    while (auto part = wait_for_part(is_caller_connected)) {
        const auto* token = std::get_if<core::answer_token>(&*part);
        if (token == nullptr) {
            has_ended_ = std::holds_alternative<core::answer_end>(*part);
            return part;
        }
        if (token->text.empty())
            return part;
        if (token->index < next_token_index_)
            continue;
        if (token->index > next_token_index_) {
            abandon();
            return broken_answer_end();
        }
        ++next_token_index_;
        return part;
    }
    return std::nullopt;
}

void answer_reader::abandon()
{
    if (std::exchange(has_ended_, true))
        return;
    on_caller_gone_(request_);
    answers_->close();
}

std::optional<core::answer_part>
answer_reader::wait_for_part(const connection_check& is_caller_connected)
{
    for (;;) {
        const absl::Time deadline = core::monotonic_now() + check_interval_;
        auto result = answers_->pop_until(core::to_steady(deadline));
        if (auto* part = std::get_if<core::answer_part>(&result))
            return std::move(*part);
        if (std::holds_alternative<core::ring_closed>(result))
            return broken_answer_end();
        if (!is_caller_connected()) {
            abandon();
            return std::nullopt;
        }
    }
}

} // namespace oriolefall::front

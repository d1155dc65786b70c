#include "oriolefall/front/answer_reader.hpp"

#include "oriolefall/core/clock.hpp"

#include <cassert>
#include <utility>

namespace oriolefall::front {

namespace {

core::answer_end broken_answer()
{
    core::answer_end end;
    end.verdict = core::may_have_run{core::reason::connection_lost};
    return end;
}

} // namespace

answer_reader::answer_reader(core::request_id request,
                             core::answer_ring_ptr answers,
                             absl::Duration check_interval,
                             std::function<void(core::request_id)> caller_gone)
    : request_(request), answers_(std::move(answers)),
      check_interval_(check_interval), caller_gone_(std::move(caller_gone))
{
}

std::optional<core::answer_part>
answer_reader::next(const presence_hook& caller_here)
{
    assert(!ended_);
    while (auto part = wait(caller_here)) {
        const auto* token = std::get_if<core::answer_token>(&*part);
        if (token == nullptr) {
            ended_ = std::holds_alternative<core::answer_end>(*part);
            return part;
        }
        if (token->text.empty())
            return part;
        if (token->index < next_token_)
            continue;
        if (token->index > next_token_) {
            abandon();
            return broken_answer();
        }
        ++next_token_;
        return part;
    }
    return std::nullopt;
}

void answer_reader::abandon()
{
    if (std::exchange(ended_, true))
        return;
    caller_gone_(request_);
    answers_->close();
}

std::optional<core::answer_part>
answer_reader::wait(const presence_hook& caller_here)
{
    for (;;) {
        const absl::Time until = core::monotonic_now() + check_interval_;
        auto result = answers_->pop_until(core::to_steady(until));
        if (auto* part = std::get_if<core::answer_part>(&result))
            return std::move(*part);
        if (std::holds_alternative<core::ring_closed>(result))
            return broken_answer();
        if (!caller_here()) {
            abandon();
            return std::nullopt;
        }
    }
}

} // namespace oriolefall::front

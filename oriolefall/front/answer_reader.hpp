#ifndef ORIOLEFALL_FRONT_ANSWER_READER_HPP
#define ORIOLEFALL_FRONT_ANSWER_READER_HPP

#include "oriolefall/core/answer.hpp"
#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace oriolefall::front {

/// Tells whether the caller's connection is still open.
using presence_hook = std::function<bool()>;

/// Reads one request's answer and looks after its caller while nothing
/// comes. For the worker of that caller's connection.
class answer_reader
{
public:
    /// `caller_gone` is called at most once, when the caller has left before
    /// the end of the answer. `check_interval`: how often that is looked at.
    answer_reader(core::request_id request, core::answer_ring_ptr answers,
                  absl::Duration check_interval,
                  std::function<void(core::request_id)> caller_gone);

    /// Blocks for the next part. Nothing when the caller has gone. Tokens
    /// come in order, each once; a gap ends the answer as broken. A token
    /// without text has no place of its own. After an `answer_end` it must
    /// not be called again.
    [[nodiscard]] std::optional<core::answer_part>
    next(const presence_hook& caller_here);

    /// The caller has gone: nobody waits for the rest of the answer.
    void abandon();

    [[nodiscard]] core::request_id request() const
    {
        return request_;
    }

private:
    [[nodiscard]] std::optional<core::answer_part>
    wait(const presence_hook& caller_here);

    core::request_id request_;
    core::answer_ring_ptr answers_;
    absl::Duration check_interval_;
    std::function<void(core::request_id)> caller_gone_;
    std::uint64_t next_token_ = 0;
    bool ended_ = false;
};

} // namespace oriolefall::front

#endif

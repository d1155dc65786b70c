#ifndef ORIOLEFALL_FRONT_ANSWER_READER_HPP
#define ORIOLEFALL_FRONT_ANSWER_READER_HPP

#include "oriolefall/core/answer.hpp"
#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace oriolefall::front {

/// Returns true while the caller's connection is open.
using connection_check = std::function<bool()>;

/// Reads the parts of one request's answer. While it waits for the next part,
/// it checks at intervals whether the caller is still connected. Not
/// thread-safe: used by the worker thread of that caller's connection.
class answer_reader
{
public:
    /// `on_caller_gone` is called at most once, when the caller has
    /// disconnected before the end of the answer. `check_interval`: time
    /// between two checks of the caller's connection during a wait.
    answer_reader(core::request_id request, core::answer_ring_ptr answers,
                  absl::Duration check_interval,
                  std::function<void(core::request_id)> on_caller_gone);

    /// Blocks until the next part arrives; std::nullopt when the caller has
    /// disconnected. Returns each token once and in order: duplicates are
    /// skipped, and a missing token ends the answer with `may_have_run`,
    /// reason `connection_lost`. Tokens without text are returned without
    /// a check of their index. Must not be called after it has returned an
    /// `answer_end` or std::nullopt.
    [[nodiscard]] std::optional<core::answer_part>
    next(const connection_check& is_caller_connected);

    /// Reports that the caller has disconnected and closes the answer's ring.
    /// No effect once the answer has ended.
    void abandon();

    [[nodiscard]] core::request_id request() const
    {
        return request_;
    }

private:
    [[nodiscard]] std::optional<core::answer_part>
    wait_for_part(const connection_check& is_caller_connected);

    core::request_id request_;
    core::answer_ring_ptr answers_;
    absl::Duration check_interval_;
    std::function<void(core::request_id)> on_caller_gone_;
    std::uint64_t next_token_index_ = 0;
    bool has_ended_ = false;
};

} // namespace oriolefall::front

#endif

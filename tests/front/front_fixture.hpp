#ifndef ORIOLEFALL_TESTS_FRONT_FRONT_FIXTURE_HPP
#define ORIOLEFALL_TESTS_FRONT_FRONT_FIXTURE_HPP

#include "oriolefall/front/handlers.hpp"
#include "oriolefall/front/server.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace oriolefall::tests {

/// Called for each request that the HTTP server accepted.
using submit_hook =
    std::function<std::optional<core::reason>(front::submission)>;

/// Runs the HTTP server with handlers that a test controls. The handlers know
/// the classes "rules" (engine), "entries" (service, idempotent) and "payments"
/// (service, not idempotent), and the model "small".
class front_fixture
{
public:
    explicit front_fixture(submit_hook on_submit,
                           front::front_settings settings = {});

    [[nodiscard]] int port() const
    {
        return server_.port();
    }

    void stop()
    {
        server_.stop();
    }
    /// Blocks until the server has reported a disconnected caller; returns the
    /// identifier of its request.
    [[nodiscard]] core::request_id wait_for_caller_gone();
    /// Returns the number of requests that the server refused for this reason.
    [[nodiscard]] int refusal_count(core::reason reason) const;

private:
    [[nodiscard]] front::handlers make_handlers(submit_hook on_submit);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<core::request_id> gone_callers_;
    std::map<core::reason, int> refusal_counts_;
    std::atomic<std::uint64_t> next_id_{1};
    front::server server_;
};

/// Pushes one token for each of `words`, a finish reason and the end of a
/// complete answer.
void push_complete_answer(const core::answer_ring_ptr& answers,
                          const std::vector<std::string>& words);
/// Pushes the end of an answer.
void push_answer_end(const core::answer_ring_ptr& answers,
                     core::verdict verdict,
                     absl::Duration retry_after = absl::ZeroDuration());

/// Returns a valid chat request body with `text` as its only message.
[[nodiscard]] std::string chat_body(const std::string& text, bool stream);

} // namespace oriolefall::tests

#endif

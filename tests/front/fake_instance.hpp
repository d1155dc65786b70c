#ifndef ORIOLEFALL_TESTS_FRONT_FAKE_INSTANCE_HPP
#define ORIOLEFALL_TESTS_FRONT_FAKE_INSTANCE_HPP

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

/// What a test does with a request that the front accepted.
using submit_hook =
    std::function<std::optional<core::reason>(front::submission)>;

/// A front before handlers that a test controls. It knows the classes
/// "rules" (engine), "entries" (service, idempotent) and "payments" (service,
/// not idempotent), and the model "small".
class fake_instance
{
public:
    explicit fake_instance(submit_hook on_submit,
                           front::front_settings settings = {});

    [[nodiscard]] int port() const
    {
        return server_.port();
    }

    void stop()
    {
        server_.stop();
    }
    /// Blocks until the front has told that a caller left; its request.
    [[nodiscard]] core::request_id wait_for_caller_gone();
    /// Times that the front refused a request for this reason.
    [[nodiscard]] int refusals(core::reason reason) const;

private:
    [[nodiscard]] front::handlers make_handlers(submit_hook on_submit);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<core::request_id> gone_;
    std::map<core::reason, int> refusals_;
    std::atomic<std::uint64_t> next_id_{1};
    front::server server_;
};

/// Puts `words` and the end of a whole answer into the ring.
void answer_whole(const core::answer_ring_ptr& answers,
                  const std::vector<std::string>& words);
/// Puts the end of an answer into the ring.
void end_answer(const core::answer_ring_ptr& answers, core::verdict verdict,
                absl::Duration retry_after = absl::ZeroDuration());

/// A sound chat body with `text` as its only message.
[[nodiscard]] std::string chat_body(const std::string& text, bool stream);

} // namespace oriolefall::tests

#endif

#ifndef ORIOLEFALL_TESTS_FORWARD_FORWARDER_FIXTURE_HPP
#define ORIOLEFALL_TESTS_FORWARD_FORWARDER_FIXTURE_HPP

#include "scripted_server.hpp"
#include "tests/front/raw_caller.hpp"

#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/forward/forwarder.hpp"

#include <atomic>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::tests {

/// Runs a forwarding duty on a thread of its own, between raw callers and
/// scripted servers; the test takes the place of the deciding duty.
class forwarder_fixture
{
public:
    explicit forwarder_fixture(forward::protocol_hooks protocol,
                               forward::forward_settings settings = {});
    ~forwarder_fixture();

    /// Returns the next event that the forwarding duty reports; throws after
    /// 10 s without one.
    dispatch::event next_event();
    template <class Event>
    Event next()
    {
        return std::get<Event>(next_event());
    }
    /// Throws when the forwarding duty has no room for the action.
    void submit(const dispatch::action& action);
    /// Starts call `call` of the request at this incarnation of the server and
    /// returns its action.
    dispatch::send_call send_call(const dispatch::arrival& request,
                                  const scripted_server& server,
                                  std::uint64_t call = 1,
                                  std::int64_t server_started_at_ms = 0);
    /// The same for a stream whose events may be so far apart.
    void
    send_stream_call(const dispatch::arrival& request,
                     const scripted_server& server, std::uint64_t call = 1,
                     absl::Duration gap_timeout = absl::InfiniteDuration());
    [[nodiscard]] int port() const;
    /// Number of messages whose reader threw.
    [[nodiscard]] int read_error_count() const;

    forward::forwarder forwarder;

private:
    std::atomic<int> read_errors_ = 0;
    core::bounded_ring<dispatch::event> events_;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::tests

#endif

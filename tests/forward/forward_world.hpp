#ifndef ORIOLEFALL_TESTS_FORWARD_FORWARD_WORLD_HPP
#define ORIOLEFALL_TESTS_FORWARD_FORWARD_WORLD_HPP

#include "scripted_server.hpp"
#include "tests/front/raw_caller.hpp"

#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/forward/forwarder.hpp"

#include <optional>
#include <string>
#include <vector>

namespace oriolefall::tests {

/// A forwarding duty between a raw caller and scripted servers; the test is
/// the deciding duty.
class forward_world
{
public:
    explicit forward_world(forward::protocol_hooks protocol,
                           forward::forward_settings settings = {});
    ~forward_world();

    /// The next event that was told; the test fails after 10 s without one.
    dispatch::event next_event();
    template <class Event>
    Event next()
    {
        return std::get<Event>(next_event());
    }
    void order(const dispatch::action& action);
    /// Sends the request to the server, as its only call `call`.
    dispatch::send_call send(const dispatch::arrival& request,
                             const scripted_server& server,
                             std::uint64_t call = 1);
    [[nodiscard]] int port() const;

    forward::forwarder subject;

private:
    core::bounded_ring<dispatch::event> events_;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::tests

#endif

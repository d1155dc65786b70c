#include "forwarder_fixture.hpp"

#include <chrono>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace oriolefall::tests {

namespace {

constexpr std::size_t event_capacity = 1024;
constexpr std::chrono::seconds event_timeout{10};

forward::forward_settings with_any_port(forward::forward_settings settings)
{
    settings.listen = {"127.0.0.1", 0};
    return settings;
}

dispatch::send_call make_call(const dispatch::arrival& request,
                              const scripted_server& server, std::uint64_t call)
{
    dispatch::send_call action;
    action.id = request.id;
    action.call = core::call_id(call);
    action.server = core::backend_server_id("server-1");
    action.endpoint = server.endpoint();
    action.connection_limit = 8;
    return action;
}

} // namespace

forwarder_fixture::forwarder_fixture(forward::protocol_hooks protocol,
                                     forward::forward_settings settings)
    : forwarder(
          with_any_port(std::move(settings)), std::move(protocol),
          {[this](dispatch::event event) {
               return events_.try_push(std::move(event));
           },
           [] { return routing::caller_limits{}; },
           [this](std::string_view, std::string_view) { ++read_errors_; }}),
      events_(event_capacity)
{
    if (forwarder.listen())
        throw std::runtime_error("cannot listen");
    thread_.emplace("forward", [this] { forwarder.run(); });
}

forwarder_fixture::~forwarder_fixture()
{
    forwarder.stop();
    thread_.reset();
}

dispatch::event forwarder_fixture::next_event()
{
    auto popped =
        events_.pop_until(std::chrono::steady_clock::now() + event_timeout);
    if (auto* event = std::get_if<dispatch::event>(&popped))
        return std::move(*event);
    throw std::runtime_error("no event within 10 s");
}

void forwarder_fixture::submit(const dispatch::action& action)
{
    if (!forwarder.submit(action))
        throw std::runtime_error("the action ring is full");
}

dispatch::send_call
forwarder_fixture::send_call(const dispatch::arrival& request,
                             const scripted_server& server, std::uint64_t call,
                             std::int64_t server_started_at_ms)
{
    dispatch::send_call action = make_call(request, server, call);
    action.server_started_at_ms = server_started_at_ms;
    submit(action);
    return action;
}

void forwarder_fixture::send_stream_call(const dispatch::arrival& request,
                                         const scripted_server& server,
                                         std::uint64_t call,
                                         absl::Duration gap_timeout)
{
    dispatch::send_call action = make_call(request, server, call);
    action.is_stream = true;
    action.gap_timeout = gap_timeout;
    submit(action);
}

int forwarder_fixture::read_error_count() const
{
    return read_errors_;
}

int forwarder_fixture::port() const
{
    return forwarder.port();
}

} // namespace oriolefall::tests

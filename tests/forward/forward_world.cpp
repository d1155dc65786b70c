#include "forward_world.hpp"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace oriolefall::tests {

namespace {

constexpr std::size_t event_capacity = 1024;
constexpr std::chrono::seconds longest_wait{10};

forward::forward_settings any_port(forward::forward_settings settings)
{
    settings.listen = {"127.0.0.1", 0};
    return settings;
}

} // namespace

forward_world::forward_world(forward::protocol_hooks protocol,
                             forward::forward_settings settings)
    : subject(any_port(std::move(settings)), std::move(protocol),
              {[this](dispatch::event event) {
                   return events_.try_push(std::move(event));
               },
               [] { return routing::caller_limits{}; }}),
      events_(event_capacity)
{
    if (!subject.listen())
        throw std::runtime_error("cannot listen");
    thread_.emplace("forward", [this] { subject.run(); });
}

forward_world::~forward_world()
{
    subject.stop();
    thread_.reset();
}

dispatch::event forward_world::next_event()
{
    auto got =
        events_.pop_until(std::chrono::steady_clock::now() + longest_wait);
    if (auto* event = std::get_if<dispatch::event>(&got))
        return std::move(*event);
    throw std::runtime_error("no event came");
}

void forward_world::order(const dispatch::action& action)
{
    if (!subject.give(action))
        throw std::runtime_error("no room for an order");
}

dispatch::send_call forward_world::send(const dispatch::arrival& request,
                                        const scripted_server& server,
                                        std::uint64_t call)
{
    dispatch::send_call order_of;
    order_of.id = request.id;
    order_of.call = core::call_id(call);
    order_of.server = core::backend_server_id("server-1");
    order_of.endpoint = server.endpoint();
    order_of.connection_limit = 8;
    order(order_of);
    return order_of;
}

int forward_world::port() const
{
    return subject.port();
}

} // namespace oriolefall::tests

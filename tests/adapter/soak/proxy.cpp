#include "tests/adapter/soak/proxy.hpp"

#include <array>
#include <utility>

namespace oriolefall::soak {

namespace {

constexpr milliseconds delay{120};
constexpr milliseconds check{25};
constexpr std::size_t piece_bytes = 16384;

void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

proxy::proxy(asio::io_context& context, const tcp::endpoint& to)
    : context_(context), to_(to),
      acceptor_(context, {asio::ip::address_v4::loopback(), 0})
{
}

void proxy::start()
{
    asio::co_spawn(context_, accept(), asio::detached);
}

std::uint16_t proxy::port() const
{
    return acceptor_.local_endpoint().port();
}

void proxy::lead_to(const tcp::endpoint& to)
{
    to_ = to;
}

void proxy::set_fault(link_fault fault)
{
    const auto open = links_;
    for (const link_ptr& each : open) {
        if (fault == link_fault::silenced)
            each->is_silent = true;
        if (fault != link_fault::reset)
            continue;
        reset(each->near);
        reset(each->far);
    }
    const bool is_over =
        fault == link_fault::reset || fault == link_fault::silenced;
    fault_ = is_over ? link_fault::none : fault;
}

task<void> proxy::accept()
{
    const auto self = shared_from_this();
    while (true) {
        const auto made = std::make_shared<link>(context_);
        error_code error;
        co_await acceptor_.async_accept(made->near, into(error));
        if (error)
            co_return;
        links_.insert(made);
        asio::co_spawn(context_, open(made), asio::detached);
    }
}

task<void> proxy::open(link_ptr made)
{
    const auto self = shared_from_this();
    while (fault_ == link_fault::cut)
        co_await pause(check);
    error_code error;
    co_await made->far.async_connect(to_, into(error));
    if (error) {
        reset(made->near);
        links_.erase(made);
        co_return;
    }
    asio::co_spawn(context_, pass(made, true), asio::detached);
    asio::co_spawn(context_, pass(made, false), asio::detached);
}

bool proxy::holds(const link& held, bool forth) const
{
    return held.is_silent || fault_ == link_fault::cut ||
           (forth && fault_ == link_fault::cut_forth) ||
           (!forth && fault_ == link_fault::cut_back);
}

task<void> proxy::pass(link_ptr held, bool forth)
{
    const auto self = shared_from_this();
    tcp::socket& from = forth ? held->near : held->far;
    tcp::socket& to = forth ? held->far : held->near;
    std::array<char, piece_bytes> bytes{};
    error_code error;
    while (!error) {
        const std::size_t count =
            co_await from.async_read_some(asio::buffer(bytes), into(error));
        while (holds(*held, forth) && from.is_open())
            co_await pause(check);
        if (fault_ == link_fault::delayed)
            co_await pause(delay);
        if (error == asio::error::eof && count == 0) {
            error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
            break;
        }
        if (error)
            break;
        co_await asio::async_write(to, asio::buffer(bytes.data(), count),
                                   into(error));
    }
    if (error && error != asio::error::eof) {
        reset(held->near);
        reset(held->far);
    }
    if (++held->ended == 2)
        links_.erase(held);
}

} // namespace oriolefall::soak

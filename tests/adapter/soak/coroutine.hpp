#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_COROUTINE_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_COROUTINE_HPP

#include "oriolefall/net/beast.hpp"

#include <chrono>

namespace oriolefall::soak {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
template <class Value>
using task = asio::awaitable<Value>;

/// Completion token of calls that tell their error in `error`.
inline auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// Waits. GCC 12 evaluates a co_await behind && and || in every case: none may
/// stand there.
inline task<void> pause(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    error_code error;
    co_await timer.async_wait(into(error));
}

} // namespace oriolefall::soak

#endif

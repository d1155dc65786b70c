#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_WORK_SERVER_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_WORK_SERVER_HPP

#include "tests/adapter/soak/coroutine.hpp"
#include "tests/adapter/soak/ledger.hpp"

#include <memory>
#include <random>
#include <set>
#include <string>

namespace oriolefall::soak {

/// How a backend server misbehaves.
enum class server_fault : unsigned char
{
    none,
    /// Takes requests, runs them and answers nothing.
    hangs,
    /// Fails a third of its requests.
    grey,
    slow,
    /// Runs a request and closes the connection.
    loses_answers,
    /// Answers with bytes that are no answer, or with more than one; streams
    /// go on with such bytes, some of them without length or chunks.
    garbles,
    /// Turns requests away and wants none for `quiet_time`.
    wants_quiet
};

/// Retry-After of a server that wants quiet.
inline constexpr std::chrono::seconds quiet_time{2};

struct work_server_settings
{
    std::string id;
    std::string service;
    unsigned slots = 16;
    milliseconds work{20};
    unsigned stream_events = 0;
    milliseconds event_pause{15};
    std::strong_ordering
    operator<=>(const work_server_settings&) const = default;
};

/// Stand-in of a backend server as the users' pages describe it. One thread.
class work_server : public std::enable_shared_from_this<work_server>
{
public:
    work_server(asio::io_context& context, work_server_settings settings,
                ledger& seen, std::uint64_t seed);

    /// Listens; at `port` when it isn't 0.
    void start(std::uint16_t port);
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] const work_server_settings& settings() const;
    void set_fault(server_fault fault);
    /// Says in all answers from now on that it leaves.
    void set_leaving();
    /// Ends at once: all connections are reset, nothing listens.
    void crash();
    [[nodiscard]] bool is_running() const;

private:
    using request = http::request<http::string_body>;
    using socket_ptr = std::shared_ptr<tcp::socket>;

    task<void> accept();
    task<void> serve(socket_ptr socket);
    /// False when the connection is to end.
    task<bool> handle(const socket_ptr& socket, const request& asked);
    task<bool> refuse(const socket_ptr& socket, const std::string& id,
                      http::status status);
    task<bool> answer(const socket_ptr& socket, const std::string& id,
                      run& begun);
    task<bool> stream(const socket_ptr& socket, const request& asked);
    /// Bytes that no run made.
    [[nodiscard]] std::string garbage();
    [[nodiscard]] std::string head(const std::string& id,
                                   const std::string& status);

    asio::io_context& context_;
    work_server_settings settings_;
    ledger& seen_;
    std::mt19937_64 random_;
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::set<socket_ptr> sockets_;
    unsigned running_ = 0;
    server_fault fault_ = server_fault::none;
    bool is_leaving_ = false;
};

} // namespace oriolefall::soak

#endif

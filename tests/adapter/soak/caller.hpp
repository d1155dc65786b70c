#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_CALLER_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_CALLER_HPP

#include "tests/adapter/soak/coroutine.hpp"
#include "tests/adapter/soak/ledger.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oriolefall::soak {

/// An instance as callers reach it.
struct caller_view
{
    std::string name;
    /// The address that the directory gives for it.
    std::string address;
    /// The proxy through which callers connect to it.
    std::uint16_t proxy_port = 0;
    /// Where it is asked for addresses.
    tcp::endpoint directory;
};

struct caller_settings
{
    std::vector<caller_view> instances;
    milliseconds between_requests{20};
    /// What callers wait at most.
    milliseconds patience{6000};
    std::string host;
    std::string api_key;
    std::string workspace;
    /// Of this many callers one leaves early.
    unsigned leaves_in = 20;
    std::uint64_t seed = 1;
};

/// Callers that ask for addresses, keep connections, send requests of all kinds
/// and tell the ledger what they saw. One thread.
class caller
{
public:
    caller(asio::io_context& context, caller_settings settings, ledger& seen);

    void start();
    /// Sends nothing new.
    void stop();
    [[nodiscard]] std::size_t open_requests() const;

private:
    struct connection
    {
        explicit connection(asio::io_context& context) : stream(context) {}
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        clock::time_point idle_since;
    };
    using connection_ptr = std::shared_ptr<connection>;

    task<void> send_all();
    task<void> send_one(request_kind kind);
    task<attempt> try_once(request_kind kind, std::string address);
    task<void> ask_for_addresses();
    task<connection_ptr> connect(const std::string& address);
    /// Fills in how `seen` ended.
    task<void> exchange(connection_ptr held, std::shared_ptr<attempt> seen);
    [[nodiscard]] const caller_view* view_of(const std::string& address) const;
    [[nodiscard]] http::request<http::string_body>
    make_request(const attempt& seen);

    asio::io_context& context_;
    caller_settings settings_;
    ledger& seen_;
    std::mt19937_64 random_;
    std::vector<std::string> addresses_;
    clock::time_point addresses_until_;
    std::map<std::string, std::vector<connection_ptr>> idle_;
    std::size_t open_ = 0;
    std::uint64_t next_id_ = 1;
    bool stopped_ = false;
};

} // namespace oriolefall::soak

#endif

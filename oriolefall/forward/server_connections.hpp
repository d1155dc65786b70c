#ifndef ORIOLEFALL_FORWARD_SERVER_CONNECTIONS_HPP
#define ORIOLEFALL_FORWARD_SERVER_CONNECTIONS_HPP

#include "oriolefall/forward/server_connection.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace oriolefall::forward {

/// All connections to backend servers: idle ones are kept for the next call
/// to the same server. Forwarding thread.
class server_connections
{
public:
    server_connections(asio::io_context& context,
                       const forward_settings& settings);
    ~server_connections();
    server_connections(const server_connections&) = delete;
    server_connections& operator=(const server_connections&) = delete;

    /// Starts a call; null when `order` allows no further connection.
    [[nodiscard]] std::shared_ptr<server_connection>
    start(const dispatch::send_call& order,
          std::shared_ptr<const std::string> body, call_hooks hooks);
    [[nodiscard]] std::size_t opened() const;

private:
    struct server
    {
        std::vector<std::shared_ptr<server_connection>> idle;
        std::uint32_t open = 0;
    };
    void on_ended(const std::string& key, server_connection& ended);

    asio::io_context& context_;
    const forward_settings& settings_;
    /// By server and address: an address may pass to another server.
    absl::flat_hash_map<std::string, server> servers_;
    std::size_t opened_ = 0;
};

} // namespace oriolefall::forward

#endif

#ifndef ORIOLEFALL_FORWARD_SERVER_CONNECTION_POOL_HPP
#define ORIOLEFALL_FORWARD_SERVER_CONNECTION_POOL_HPP

#include "oriolefall/forward/server_connection.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace oriolefall::forward {

/// All connections to backend servers. An idle connection is reused for the
/// next call to the same server. Runs on the forwarding thread.
class server_connection_pool
{
public:
    server_connection_pool(asio::io_context& context,
                           const forward_settings& settings,
                           net::read_error_hook read_error);
    ~server_connection_pool();
    server_connection_pool(const server_connection_pool&) = delete;
    server_connection_pool& operator=(const server_connection_pool&) = delete;

    /// Starts a call on an idle connection or a new one; null when the server's
    /// connection limit is reached.
    [[nodiscard]] std::shared_ptr<server_connection>
    start(const dispatch::send_call& call,
          std::shared_ptr<const std::string> body, call_hooks hooks);
    /// Number of connections that were opened so far.
    [[nodiscard]] std::size_t opened_count() const;

private:
    struct server_state
    {
        std::vector<std::shared_ptr<server_connection>> idle;
        /// Number of connections, idle ones included.
        std::uint32_t open = 0;
    };
    void on_closed(const std::string& key, server_connection& closed);

    asio::io_context& context_;
    const forward_settings& settings_;
    net::read_error_hook read_error_;
    /// The key holds server and address, because an address may pass to another
    /// server.
    absl::flat_hash_map<std::string, server_state> servers_;
    std::size_t opened_count_ = 0;
};

} // namespace oriolefall::forward

#endif

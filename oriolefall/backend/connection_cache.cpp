#include "oriolefall/backend/connection_cache.hpp"

#include <absl/strings/str_cat.h>

#include <poll.h>

#include <utility>

namespace oriolefall::backend {

namespace {

std::string cache_key(const core::endpoint& endpoint)
{
    return absl::StrCat(endpoint.address, ":", endpoint.port);
}

/// True if the peer has closed the connection, or sent what answers no call.
bool has_unread_bytes(const httplib::Client& connection)
{
    pollfd socket{.fd = connection.socket(), .events = POLLIN, .revents = 0};
    return ::poll(&socket, 1, 0) > 0;
}

} // namespace

connection_cache::connection_cache(const call_worker_settings& settings)
    : settings_(settings)
{
}

connection_ptr connection_cache::acquire(const core::endpoint& endpoint)
{
    {
        const std::lock_guard lock(mutex_);
        std::vector<connection_ptr>& idle = idle_[cache_key(endpoint)];
        while (!idle.empty()) {
            connection_ptr connection = std::move(idle.back());
            idle.pop_back();
            if (!has_unread_bytes(*connection))
                return connection;
        }
    }
    return make(endpoint);
}

connection_ptr connection_cache::make(const core::endpoint& endpoint) const
{
    auto connection =
        std::make_shared<httplib::Client>(endpoint.address, endpoint.port);
    connection->set_keep_alive(true);
    connection->set_tcp_nodelay(true);
    connection->set_follow_location(false);
    connection->set_connection_timeout(
        absl::ToChronoMicroseconds(settings_.connect_timeout));
    connection->set_write_timeout(
        absl::ToChronoMicroseconds(settings_.write_timeout));
    return connection;
}

void connection_cache::release(const core::endpoint& endpoint,
                               connection_ptr connection)
{
    const std::lock_guard lock(mutex_);
    std::vector<connection_ptr>& idle = idle_[cache_key(endpoint)];
    if (idle.size() < settings_.max_idle_connections)
        idle.push_back(std::move(connection));
}

} // namespace oriolefall::backend

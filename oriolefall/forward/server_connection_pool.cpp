#include "oriolefall/forward/server_connection_pool.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace oriolefall::forward {

server_connection_pool::server_connection_pool(asio::io_context& context,
                                               const forward_settings& settings,
                                               net::read_error_hook read_error)
    : context_(context), settings_(settings), read_error_(std::move(read_error))
{
}

server_connection_pool::~server_connection_pool()
{
    // Closing a connection changes the lists, so they are copied first.
    std::vector<std::shared_ptr<server_connection>> all;
    for (auto& [key, state] : servers_)
        all.insert(all.end(), state.idle.begin(), state.idle.end());
    std::ranges::for_each(all, [](const auto& each) { each->close_if_idle(); });
}

std::shared_ptr<server_connection>
server_connection_pool::start(const dispatch::send_call& call,
                              std::shared_ptr<const std::string> body,
                              call_hooks hooks)
{
    const std::string key =
        absl::StrCat(call.server.value(), "@", call.endpoint.address, ":",
                     call.endpoint.port);
    server_state& state = servers_[key];
    if (!state.idle.empty()) {
        auto connection = std::move(state.idle.back());
        state.idle.pop_back();
        connection->start_next(std::move(body), std::move(hooks));
        return connection;
    }
    if (state.open >= call.connection_limit)
        return nullptr;
    server_connection::owner_hooks owner;
    owner.on_closed = [this, key](server_connection& closed) {
        on_closed(key, closed);
    };
    owner.on_idle = [this, key](server_connection& connection) {
        servers_[key].idle.push_back(connection.shared_from_this());
    };
    owner.read_error = read_error_;
    auto connection = std::make_shared<server_connection>(context_, settings_,
                                                          std::move(owner));
    ++state.open;
    ++opened_count_;
    connection->start(call.endpoint, std::move(body), std::move(hooks));
    return connection;
}

std::size_t server_connection_pool::opened_count() const
{
    return opened_count_;
}

void server_connection_pool::on_closed(const std::string& key,
                                       server_connection& closed)
{
    const auto found = servers_.find(key);
    if (found == servers_.end())
        return;
    server_state& state = found->second;
    --state.open;
    std::erase_if(state.idle, [&closed](const auto& each) {
        return each.get() == &closed;
    });
    if (state.open == 0)
        servers_.erase(found);
}

} // namespace oriolefall::forward

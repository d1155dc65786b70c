#include "oriolefall/forward/server_connections.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace oriolefall::forward {

server_connections::server_connections(asio::io_context& context,
                                       const forward_settings& settings)
    : context_(context), settings_(settings)
{
}

server_connections::~server_connections()
{
    // Each closes itself and asks to be taken off the list.
    std::vector<std::shared_ptr<server_connection>> all;
    for (auto& [key, held] : servers_)
        all.insert(all.end(), held.idle.begin(), held.idle.end());
    std::ranges::for_each(all, [](const auto& each) { each->close_idle(); });
}

std::shared_ptr<server_connection>
server_connections::start(const dispatch::send_call& order,
                          std::shared_ptr<const std::string> body,
                          call_hooks hooks)
{
    const std::string key =
        absl::StrCat(order.server.value(), "@", order.endpoint.address, ":",
                     order.endpoint.port);
    server& held = servers_[key];
    if (!held.idle.empty()) {
        auto kept = std::move(held.idle.back());
        held.idle.pop_back();
        kept->start_next(std::move(body), std::move(hooks));
        return kept;
    }
    if (held.open >= order.connection_limit)
        return nullptr;
    server_connection::owner_hooks owner;
    owner.ended = [this, key](server_connection& ended) {
        on_ended(key, ended);
    };
    owner.idles = [this, key](server_connection& kept) {
        servers_[key].idle.push_back(kept.shared_from_this());
    };
    auto made = std::make_shared<server_connection>(context_, settings_,
                                                    std::move(owner));
    ++held.open;
    ++opened_;
    made->start(order.endpoint, std::move(body), std::move(hooks));
    return made;
}

std::size_t server_connections::opened() const
{
    return opened_;
}

void server_connections::on_ended(const std::string& key,
                                  server_connection& ended)
{
    const auto found = servers_.find(key);
    if (found == servers_.end())
        return;
    server& held = found->second;
    --held.open;
    std::erase_if(held.idle,
                  [&ended](const auto& each) { return each.get() == &ended; });
    if (held.open == 0)
        servers_.erase(found);
}

} // namespace oriolefall::forward

#include "oriolefall/peer/link.hpp"

#include <cassert>
#include <utility>

namespace oriolefall::peer {

link::link(link_settings settings, link_hook hook)
    : settings_(std::move(settings)), hook_(std::move(hook)),
      commands_(settings_.ring_capacity)
{
    assert(hook_);
    assert(!settings_.self.value().empty());
    assert(!settings_.key.empty());
}

link::~link()
{
    stop();
}

bool link::start()
{
    assert(!loop_);
    std::optional<unique_fd> listener = listen_at(settings_.listen);
    if (!listener)
        return false;
    port_ = port_of(*listener);
    loop_.emplace(settings_, std::move(*listener), commands_, wake_, counters_,
                  hook_);
    thread_.emplace("peer", [this] { loop_->run(); });
    return true;
}

void link::stop()
{
    commands_.close();
    wake_.wake();
    thread_.reset();
    loop_.reset();
}

bool link::send(const core::instance_id& to, message value)
{
    return push(outgoing{to, std::move(value)});
}

bool link::set_peers(std::vector<peer_address> peers)
{
    return push(wanted_peers{std::move(peers)});
}

std::uint16_t link::port() const
{
    return port_;
}

link_counts link::counts() const
{
    return counters_.snapshot();
}

bool link::push(link_command command)
{
    if (!commands_.try_push(std::move(command))) {
        counters_.refused(refusal::queue_full);
        return false;
    }
    wake_.wake();
    return true;
}

} // namespace oriolefall::peer

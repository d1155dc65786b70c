#include "oriolefall/peer/link.hpp"

#include <cassert>
#include <utility>

namespace oriolefall::peer {

link::link(link_settings settings, link_event_sink event_sink)
    : settings_(std::move(settings)), event_sink_(std::move(event_sink)),
      commands_(settings_.ring_capacity)
{
    assert(event_sink_);
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
    loop_.emplace(settings_, std::move(*listener), commands_, waker_, counters_,
                  event_sink_);
    thread_.emplace("peer", [this] { loop_->run(); });
    return true;
}

void link::stop()
{
    commands_.close();
    waker_.wake();
    thread_.reset();
    loop_.reset();
}

bool link::send(const core::instance_id& to, message value)
{
    return push(outgoing_message{to, std::move(value)});
}

bool link::set_peers(std::vector<peer_address> peers)
{
    return push(desired_peers{std::move(peers)});
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
        counters_.count_refusal(refusal::queue_full);
        return false;
    }
    waker_.wake();
    return true;
}

} // namespace oriolefall::peer

#include "oriolefall/dispatch/server_words.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::dispatch {

server_words::server_words(std::size_t capacity) : capacity_(capacity) {}

bool server_words::set_leaving(const server_incarnation& server)
{
    return !std::exchange(remember(server).is_leaving, true);
}

bool server_words::set_quiet(const server_incarnation& server, absl::Time until)
{
    absl::Time& known = remember(server).quiet_until;
    if (until <= known)
        return false;
    known = until;
    return true;
}

void server_words::keep_limiter(const server_incarnation& server,
                                const rate_limiter& limiter)
{
    if (limiters_.size() < capacity_)
        limiters_.insert_or_assign(server, limiter);
}

rate_limiter server_words::take_limiter(const server_incarnation& server)
{
    const auto found = limiters_.extract(server);
    return found.empty() ? rate_limiter() : found.mapped();
}

server_words::standing server_words::of(const server_incarnation& server) const
{
    const auto found = standings_.find(server);
    return found == standings_.end() ? standing{} : found->second;
}

server_words::standing& server_words::remember(const server_incarnation& server)
{
    const auto [found, is_new] = standings_.try_emplace(server);
    if (!is_new)
        return found->second;
    order_.push_back(server);
    if (order_.size() > capacity_) {
        standings_.erase(order_.front());
        order_.pop_front();
    }
    return found->second;
}

} // namespace oriolefall::dispatch

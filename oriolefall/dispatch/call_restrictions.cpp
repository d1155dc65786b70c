#include "oriolefall/dispatch/call_restrictions.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::dispatch {

call_restrictions::call_restrictions(std::size_t capacity) : capacity_(capacity)
{
}

bool call_restrictions::set_leaving(const server_incarnation& server)
{
    return !std::exchange(remember(server).is_leaving, true);
}

bool call_restrictions::set_quiet(const server_incarnation& server,
                                  absl::Time until)
{
    absl::Time& known = remember(server).quiet_until;
    if (until <= known)
        return false;
    known = until;
    return true;
}

void call_restrictions::keep_limiter(const server_incarnation& server,
                                     const rate_limiter& limiter)
{
    if (limiters_.size() < capacity_)
        limiters_.insert_or_assign(server, limiter);
}

rate_limiter call_restrictions::take_limiter(const server_incarnation& server)
{
    const auto found = limiters_.extract(server);
    return found.empty() ? rate_limiter() : found.mapped();
}

call_restrictions::restriction
call_restrictions::of(const server_incarnation& server) const
{
    const auto found = restrictions_.find(server);
    return found == restrictions_.end() ? restriction{} : found->second;
}

call_restrictions::restriction&
call_restrictions::remember(const server_incarnation& server)
{
    const auto [found, is_new] = restrictions_.try_emplace(server);
    if (!is_new)
        return found->second;
    order_.push_back(server);
    if (order_.size() > capacity_) {
        restrictions_.erase(order_.front());
        order_.pop_front();
    }
    return found->second;
}

} // namespace oriolefall::dispatch

#include "oriolefall/backend/call_control.hpp"

#include <utility>

namespace oriolefall::backend {

void call_control::cancel()
{
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    if (connection_)
        connection_->stop();
}

bool call_control::cancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

bool call_control::attach(connection_ptr connection)
{
    const std::lock_guard lock(mutex_);
    if (cancelled_)
        return false;
    connection_ = std::move(connection);
    return true;
}

void call_control::detach()
{
    const std::lock_guard lock(mutex_);
    connection_.reset();
}

} // namespace oriolefall::backend

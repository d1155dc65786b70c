#include "oriolefall/backend/call_control.hpp"

#include <utility>

namespace oriolefall::backend {

void call_control::cancel()
{
    is_cancelled_ = true;
}

bool call_control::is_cancelled() const
{
    return is_cancelled_;
}

void call_control::close_connection()
{
    const std::lock_guard lock(mutex_);
    if (connection_)
        connection_->stop();
}

bool call_control::attach(connection_ptr connection)
{
    const std::lock_guard lock(mutex_);
    if (is_cancelled_)
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

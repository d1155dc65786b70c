#ifndef ORIOLEFALL_BACKEND_CALL_CONTROL_HPP
#define ORIOLEFALL_BACKEND_CALL_CONTROL_HPP

#include "oriolefall/backend/connection_cache.hpp"

#include <atomic>
#include <mutex>

namespace oriolefall::backend {

/// Lets other threads cancel a call that a worker thread runs. Thread-safe.
class call_control
{
public:
    /// Marks the call as cancelled: it ends at its next received byte, or when
    /// a worker dequeues it. Never blocks.
    void cancel();
    [[nodiscard]] bool is_cancelled() const;
    /// Closes the connection of a cancelled call. May block while the
    /// connection is being established.
    void close_connection();

    /// Sets the connection that the call uses. Returns false if the call has
    /// already been cancelled; it must then not be made.
    bool attach(connection_ptr connection);
    /// Clears the connection when the call no longer uses it.
    void detach();

private:
    std::atomic<bool> is_cancelled_ = false;
    std::mutex mutex_;
    connection_ptr connection_;
};

} // namespace oriolefall::backend

#endif

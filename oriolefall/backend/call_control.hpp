#ifndef ORIOLEFALL_BACKEND_CALL_CONTROL_HPP
#define ORIOLEFALL_BACKEND_CALL_CONTROL_HPP

#include "oriolefall/backend/connection_cache.hpp"

#include <atomic>
#include <mutex>

namespace oriolefall::backend {

/// Lets another thread stop a call that a lane carries out. Any thread.
class call_control
{
public:
    /// The call is to stop at its next byte, or when a lane takes it. Never
    /// blocks.
    void cancel();
    [[nodiscard]] bool cancelled() const;
    /// Closes the connection of a cancelled call. May block while the
    /// connection is being made.
    void stop();

    /// Tells which connection the call uses. False when it was cancelled
    /// before; the call must then not be made.
    bool attach(connection_ptr connection);
    /// The call no longer uses its connection.
    void detach();

private:
    std::atomic<bool> cancelled_ = false;
    std::mutex mutex_;
    connection_ptr connection_;
};

} // namespace oriolefall::backend

#endif

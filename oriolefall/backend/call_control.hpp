#ifndef ORIOLEFALL_BACKEND_CALL_CONTROL_HPP
#define ORIOLEFALL_BACKEND_CALL_CONTROL_HPP

#include "oriolefall/backend/connection_cache.hpp"

#include <mutex>

namespace oriolefall::backend {

/// Lets another thread stop a call that a lane carries out. Any thread.
class call_control
{
public:
    /// Stops the call now, or as soon as a lane takes it.
    void cancel();
    [[nodiscard]] bool cancelled() const;

    /// Tells which connection the call uses. False when it was cancelled
    /// before; the call must then not be made.
    bool attach(connection_ptr connection);
    /// The call no longer uses its connection.
    void detach();

private:
    mutable std::mutex mutex_;
    connection_ptr connection_;
    bool cancelled_ = false;
};

} // namespace oriolefall::backend

#endif

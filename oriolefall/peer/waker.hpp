#ifndef ORIOLEFALL_PEER_WAKER_HPP
#define ORIOLEFALL_PEER_WAKER_HPP

#include "oriolefall/peer/socket.hpp"

#include <atomic>

namespace oriolefall::peer {

/// Wakes a thread that waits in `poll`. Any number of calls of `wake` before
/// the thread has woken cost one write.
class waker
{
public:
    waker();

    /// Any thread.
    void wake();
    /// To be called by the woken thread before it looks for work.
    void reset();
    [[nodiscard]] int fd() const;

private:
    unique_fd fd_;
    std::atomic<bool> is_pending_{false};
};

} // namespace oriolefall::peer

#endif

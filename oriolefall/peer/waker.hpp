#ifndef ORIOLEFALL_PEER_WAKER_HPP
#define ORIOLEFALL_PEER_WAKER_HPP

#include "oriolefall/peer/socket.hpp"

#include <atomic>

namespace oriolefall::peer {

/// Wakes a thread that waits in `poll`, through an eventfd. Repeated calls to
/// `wake` before the thread calls `reset` cost a single write.
class waker
{
public:
    waker();

    /// Any thread.
    void wake();
    /// Called by the woken thread before it looks for work, so that a later
    /// `wake` is not lost.
    void reset();
    /// Descriptor to poll; readable after `wake`.
    [[nodiscard]] int fd() const;

private:
    unique_fd fd_;
    std::atomic<bool> is_pending_{false};
};

} // namespace oriolefall::peer

#endif

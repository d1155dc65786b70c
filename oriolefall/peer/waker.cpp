#include "oriolefall/peer/waker.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cassert>
#include <cstdint>

namespace oriolefall::peer {

waker::waker() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    assert(fd_.is_valid());
}

void waker::wake()
{
    if (is_pending_.exchange(true))
        return;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t size = write(fd_.get(), &one, sizeof one);
}

void waker::reset()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t size = read(fd_.get(), &count, sizeof count);
    is_pending_ = false;
}

int waker::fd() const
{
    return fd_.get();
}

} // namespace oriolefall::peer

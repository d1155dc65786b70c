#include "oriolefall/front/stop_signal.hpp"

#include <cerrno>
#include <poll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace oriolefall::front {

stop_signal::stop_signal() : descriptor_(::eventfd(0, EFD_CLOEXEC))
{
    if (descriptor_ < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

stop_signal::~stop_signal()
{
    ::close(descriptor_);
}

void stop_signal::raise()
{
    ::eventfd_write(descriptor_, 1);
}

bool stop_signal::is_raised() const
{
    pollfd entry{descriptor_, POLLIN, 0};
    return ::poll(&entry, 1, 0) > 0;
}

} // namespace oriolefall::front

#include "oriolefall/front/connection.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/front/request_head.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <limits>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oriolefall::front {

namespace {

/// What a chunked body may have beyond its content, in bytes.
constexpr std::size_t framing_bytes = 64UL * 1024;
/// Limits of what is read and dropped before a connection is closed.
constexpr absl::Duration drain_time = absl::Seconds(2);
constexpr std::size_t drain_bytes = 32UL * 1024 * 1024;

/// Time left until `until` for poll(): rounded up, -1 for no limit.
int poll_milliseconds(absl::Time until)
{
    if (until == absl::InfiniteFuture())
        return -1;
    const absl::Duration left =
        std::max(until - core::monotonic_now(), absl::ZeroDuration());
    const auto milliseconds =
        absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1)));
    return static_cast<int>(
        std::min<std::int64_t>(milliseconds, std::numeric_limits<int>::max()));
}

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

void print_address(const sockaddr_storage& storage, std::string& ip, int& port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET) {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(storage);
        ::inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    } else {
        const auto& v6 = reinterpret_cast<const sockaddr_in6&>(storage);
        ::inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

} // namespace

connection::connection(int descriptor, const front_settings& settings)
    : descriptor_(descriptor), settings_(settings)
{
}

connection::~connection()
{
    ::shutdown(descriptor_, SHUT_WR);
    if (!sound() || drop_rest_)
        drain();
    ::close(descriptor_);
}

request_start connection::await_request(absl::Duration idle,
                                        const stop_signal& stop)
{
    if (!sound() || !await_first_byte(idle, stop))
        return request_start::none;
    read_until_ = core::monotonic_now() + settings_.request_timeout;
    bytes_left_ = settings_.max_body_bytes + framing_bytes;
    const request_start start = read_head();
    drop_rest_ = drop_rest_ || start != request_start::ready;
    return start;
}

bool connection::await_first_byte(absl::Duration idle,
                                  const stop_signal& stop) const
{
    if (buffer_begin_ < buffer_end_)
        return true;
    std::array<pollfd, 2> entries{pollfd{descriptor_, POLLIN, 0},
                                  pollfd{stop.descriptor(), POLLIN, 0}};
    const absl::Time until = core::monotonic_now() + idle;
    ::poll(entries.data(), entries.size(), poll_milliseconds(until));
    return entries[0].revents != 0;
}

request_start connection::read_head()
{
    std::string head;
    for (;;) {
        if (buffer_begin_ == buffer_end_ && !fill_buffer())
            return sound_ ? request_start::none : request_start::too_late;
        const std::size_t before = head.size();
        head.append(buffer_.data() + buffer_begin_,
                    buffer_end_ - buffer_begin_);
        const std::size_t length = head_length(head);
        if (std::min(length, head.size()) > settings_.max_header_bytes)
            return request_start::too_large;
        if (length != std::string::npos) {
            buffer_begin_ += length - before;
            head.resize(length);
            head_ = without_unbounded_headers(head);
            head_at_ = 0;
            return request_start::ready;
        }
        buffer_begin_ = buffer_end_;
    }
}

bool connection::caller_here() const
{
    pollfd entry{descriptor_, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) <= 0;
}

bool connection::is_readable() const
{
    return head_at_ < head_.size() || buffer_begin_ < buffer_end_ ||
           wait_for(POLLIN, read_until_);
}

bool connection::is_writable() const
{
    const absl::Time until = core::monotonic_now() + settings_.write_timeout;
    return sound_ && caller_here() && wait_for(POLLOUT, until);
}

ssize_t connection::read(char* out, std::size_t size)
{
    if (head_at_ < head_.size()) {
        const std::size_t count = head_.copy(out, size, head_at_);
        head_at_ += count;
        return static_cast<ssize_t>(count);
    }
    if (bytes_left_ == 0)
        sound_ = false;
    if (!sound_)
        return -1;
    if (buffer_begin_ == buffer_end_ && !fill_buffer())
        return sound_ ? 0 : -1;
    const std::size_t count =
        std::min({size, buffer_end_ - buffer_begin_, bytes_left_});
    std::memcpy(out, buffer_.data() + buffer_begin_, count);
    buffer_begin_ += count;
    bytes_left_ -= count;
    return static_cast<ssize_t>(count);
}

bool connection::fill_buffer()
{
    buffer_begin_ = 0;
    buffer_end_ = 0;
    while (wait_for(POLLIN, read_until_)) {
        const ssize_t got =
            ::recv(descriptor_, buffer_.data(), buffer_.size(), 0);
        if (got >= 0) {
            buffer_end_ = static_cast<std::size_t>(got);
            return got > 0;
        }
        if (!would_block(errno))
            break;
    }
    sound_ = false;
    return false;
}

ssize_t connection::write(const char* data, std::size_t size)
{
    const absl::Time until = core::monotonic_now() + settings_.write_timeout;
    for (;;) {
        const ssize_t sent = ::send(descriptor_, data, size, MSG_NOSIGNAL);
        if (sent >= 0)
            return sent;
        if (!would_block(errno) || !wait_for(POLLOUT, until)) {
            sound_ = false;
            return -1;
        }
    }
}

void connection::write_closing(std::string_view answer)
{
    ::send(descriptor_, answer.data(), answer.size(), MSG_NOSIGNAL);
}

bool connection::wait_for(short events, absl::Time until) const
{
    for (;;) {
        pollfd entry{descriptor_, events, 0};
        const int ready = ::poll(&entry, 1, poll_milliseconds(until));
        if (ready >= 0 || errno != EINTR)
            return ready > 0;
    }
}

void connection::drain()
{
    const absl::Time until = core::monotonic_now() + drain_time;
    std::size_t dropped = 0;
    while (dropped < drain_bytes && wait_for(POLLIN, until)) {
        const ssize_t got =
            ::recv(descriptor_, buffer_.data(), buffer_.size(), 0);
        if (got == 0 || (got < 0 && !would_block(errno)))
            return;
        dropped += got > 0 ? static_cast<std::size_t>(got) : 0;
    }
}

void connection::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    if (::getpeername(descriptor_, reinterpret_cast<sockaddr*>(&storage),
                      &size) == 0)
        print_address(storage, ip, port);
}

void connection::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    if (::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&storage),
                      &size) == 0)
        print_address(storage, ip, port);
}

} // namespace oriolefall::front

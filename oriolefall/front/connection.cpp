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

/// Maximum size of a chunked body's framing, in bytes beyond its content.
constexpr std::size_t max_chunk_framing_bytes = 64UL * 1024;
/// Limits on reading and dropping input before a connection is closed.
constexpr absl::Duration drain_timeout = absl::Seconds(2);
constexpr std::size_t max_drain_bytes = 32UL * 1024 * 1024;

/// Returns the time left until `deadline` as a timeout for poll(), rounded up;
/// -1 for an infinite deadline.
int poll_timeout_ms(absl::Time deadline)
{
    if (deadline == absl::InfiniteFuture())
        return -1;
    const absl::Duration time_left =
        std::max(deadline - core::monotonic_now(), absl::ZeroDuration());
    const auto milliseconds =
        absl::ToInt64Milliseconds(absl::Ceil(time_left, absl::Milliseconds(1)));
    return static_cast<int>(
        std::min<std::int64_t>(milliseconds, std::numeric_limits<int>::max()));
}

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

void format_address(const sockaddr_storage& storage, std::string& ip, int& port)
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
    if (!is_reusable() || drain_at_close_)
        drain();
    ::close(descriptor_);
}

request_head_result connection::await_request(absl::Duration idle_timeout,
                                              const stop_signal& stop)
{
    if (!is_reusable() || !await_first_byte(idle_timeout, stop))
        return request_head_result::no_request;
    read_deadline_ = core::monotonic_now() + settings_.request_timeout;
    body_bytes_left_ = settings_.max_body_bytes + max_chunk_framing_bytes;
    const request_head_result result = read_head();
    drain_at_close_ =
        drain_at_close_ || result != request_head_result::received;
    return result;
}

bool connection::await_first_byte(absl::Duration idle_timeout,
                                  const stop_signal& stop) const
{
    if (buffer_begin_ < buffer_end_)
        return true;
    std::array<pollfd, 2> entries{pollfd{descriptor_, POLLIN, 0},
                                  pollfd{stop.descriptor(), POLLIN, 0}};
    const absl::Time deadline = core::monotonic_now() + idle_timeout;
    ::poll(entries.data(), entries.size(), poll_timeout_ms(deadline));
    return entries[0].revents != 0;
}

request_head_result connection::read_head()
{
    std::string head;
    for (;;) {
        if (buffer_begin_ == buffer_end_ && !fill_buffer())
            return is_usable_ ? request_head_result::no_request
                              : request_head_result::timed_out;
        const std::size_t previous_size = head.size();
        head.append(buffer_.data() + buffer_begin_,
                    buffer_end_ - buffer_begin_);
        const std::size_t length = head_length(head);
        if (std::min(length, head.size()) > settings_.max_header_bytes)
            return request_head_result::too_large;
        if (length != std::string::npos) {
            buffer_begin_ += length - previous_size;
            head.resize(length);
            head_ = remove_unbounded_headers(head);
            head_offset_ = 0;
            return request_head_result::received;
        }
        buffer_begin_ = buffer_end_;
    }
}

bool connection::is_caller_connected() const
{
    pollfd entry{descriptor_, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) <= 0;
}

bool connection::is_readable() const
{
    return head_offset_ < head_.size() || buffer_begin_ < buffer_end_ ||
           wait_for_events(POLLIN, read_deadline_);
}

bool connection::is_writable() const
{
    const absl::Time deadline = core::monotonic_now() + settings_.write_timeout;
    return is_usable_ && is_caller_connected() &&
           wait_for_events(POLLOUT, deadline);
}

ssize_t connection::read(char* out, std::size_t size)
{
    if (head_offset_ < head_.size()) {
        const std::size_t count = head_.copy(out, size, head_offset_);
        head_offset_ += count;
        return static_cast<ssize_t>(count);
    }
    if (body_bytes_left_ == 0)
        is_usable_ = false;
    if (!is_usable_)
        return -1;
    if (buffer_begin_ == buffer_end_ && !fill_buffer())
        return is_usable_ ? 0 : -1;
    const std::size_t count =
        std::min({size, buffer_end_ - buffer_begin_, body_bytes_left_});
    std::memcpy(out, buffer_.data() + buffer_begin_, count);
    buffer_begin_ += count;
    body_bytes_left_ -= count;
    return static_cast<ssize_t>(count);
}

bool connection::fill_buffer()
{
    buffer_begin_ = 0;
    buffer_end_ = 0;
    while (wait_for_events(POLLIN, read_deadline_)) {
        const ssize_t received =
            ::recv(descriptor_, buffer_.data(), buffer_.size(), 0);
        if (received >= 0) {
            buffer_end_ = static_cast<std::size_t>(received);
            return received > 0;
        }
        if (!would_block(errno))
            break;
    }
    is_usable_ = false;
    return false;
}

ssize_t connection::write(const char* data, std::size_t size)
{
    const absl::Time deadline = core::monotonic_now() + settings_.write_timeout;
    for (;;) {
        const ssize_t sent = ::send(descriptor_, data, size, MSG_NOSIGNAL);
        if (sent >= 0)
            return sent;
        if (!would_block(errno) || !wait_for_events(POLLOUT, deadline)) {
            is_usable_ = false;
            return -1;
        }
    }
}

void connection::write_final_answer(std::string_view answer)
{
    ::send(descriptor_, answer.data(), answer.size(), MSG_NOSIGNAL);
}

bool connection::wait_for_events(short events, absl::Time deadline) const
{
    for (;;) {
        pollfd entry{descriptor_, events, 0};
        const int ready_count = ::poll(&entry, 1, poll_timeout_ms(deadline));
        if (ready_count >= 0 || errno != EINTR)
            return ready_count > 0;
    }
}

void connection::drain()
{
    const absl::Time deadline = core::monotonic_now() + drain_timeout;
    std::size_t dropped = 0;
    while (dropped < max_drain_bytes && wait_for_events(POLLIN, deadline)) {
        const ssize_t received =
            ::recv(descriptor_, buffer_.data(), buffer_.size(), 0);
        if (received == 0 || (received < 0 && !would_block(errno)))
            return;
        dropped += received > 0 ? static_cast<std::size_t>(received) : 0;
    }
}

void connection::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    if (::getpeername(descriptor_, reinterpret_cast<sockaddr*>(&storage),
                      &size) == 0)
        format_address(storage, ip, port);
}

void connection::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    if (::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&storage),
                      &size) == 0)
        format_address(storage, ip, port);
}

} // namespace oriolefall::front

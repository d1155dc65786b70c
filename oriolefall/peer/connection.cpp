#include "oriolefall/peer/connection.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace oriolefall::peer {

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
/// Limit on consecutive reads from one connection, so that it does not starve
/// the others.
constexpr int max_consecutive_reads = 16;
/// Output of the session that is buffered before it is written to the socket.
constexpr std::size_t max_output_bytes = std::size_t{64} * 1024;

session_settings make_session_settings(const link_settings& settings)
{
    return {{settings.self.value(), settings.incarnation, settings.versions,
             make_nonce()},
            settings.key,
            settings.max_record_bytes,
            settings.max_queued_bytes};
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

connection::connection(unique_fd fd, connection_role role,
                       const link_settings& settings, absl::Time now)
    : fd_(std::move(fd)), role_(role),
      handshake_timeout_(settings.handshake_timeout),
      keepalive_time_(settings.keepalive_time),
      receive_timeout_(settings.receive_timeout),
      session_(role, make_session_settings(settings)), started_at_(now),
      received_at_(now), is_connecting_(role == connection_role::dialer)
{
    fill_output();
}

void connection::read(absl::Time now, link_counters& counters)
{
    std::array<char, read_buffer_bytes> buffer{};
    for (int reads = 0; reads < max_consecutive_reads && !close_reason();
         ++reads) {
        const ssize_t size = recv(fd_.get(), buffer.data(), buffer.size(), 0);
        if (size < 0 && would_block())
            return;
        if (size <= 0) {
            close(is_connecting_ ? refusal::connect_failed
                                 : refusal::connection_lost);
            return;
        }
        received_at_ = now;
        has_pinged_ = false;
        counters.count_bytes_received(static_cast<std::size_t>(size));
        session_.feed({buffer.data(), static_cast<std::size_t>(size)});
        if (static_cast<std::size_t>(size) < buffer.size())
            return;
    }
}

void connection::write(link_counters& counters)
{
    finish_connect();
    if (is_connecting_)
        return;
    fill_output();
    while (!output_.empty()) {
        const ssize_t size =
            ::send(fd_.get(), output_.data(), output_.size(), MSG_NOSIGNAL);
        if (size < 0) {
            if (!would_block())
                close(refusal::connection_lost);
            return;
        }
        counters.count_bytes_sent(static_cast<std::size_t>(size));
        output_.erase(0, static_cast<std::size_t>(size));
        fill_output();
    }
}

bool connection::send(std::string_view record)
{
    return session_.send(record);
}

void connection::check_timeouts(absl::Time now)
{
    if (!session_.is_open()) {
        if (now - started_at_ >= handshake_timeout_)
            close(is_connecting_ ? refusal::connect_failed
                                 : refusal::handshake_timeout);
        return;
    }
    if (now - received_at_ >= receive_timeout_) {
        close(refusal::silent);
        return;
    }
    if (now - received_at_ >= keepalive_time_ && !has_pinged_) {
        has_pinged_ = true;
        session_.ping();
    }
}

void connection::close(refusal reason)
{
    if (!close_reason())
        close_reason_ = reason;
}

int connection::fd() const
{
    return fd_.get();
}

bool connection::wants_write() const
{
    return is_connecting_ || !output_.empty();
}

bool connection::is_open() const
{
    return session_.is_open() && !close_reason();
}

std::optional<refusal> connection::close_reason() const
{
    return close_reason_ ? close_reason_ : session_.close_reason();
}

connection_role connection::role() const
{
    return role_;
}

const handshake_params& connection::peer() const
{
    return session_.peer();
}

std::uint32_t connection::version() const
{
    return session_.version();
}

std::vector<std::string> connection::take_records()
{
    return session_.take_records();
}

absl::Time connection::next_timeout_check() const
{
    if (!session_.is_open())
        return started_at_ + handshake_timeout_;
    return received_at_ + (has_pinged_ ? receive_timeout_ : keepalive_time_);
}

void connection::finish_connect()
{
    if (!is_connecting_)
        return;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        close(refusal::connect_failed);
        return;
    }
    sockaddr_storage address{};
    size = sizeof address;
    is_connecting_ =
        getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size) !=
        0;
}

void connection::fill_output()
{
    session_.take_output(output_, max_output_bytes);
}

} // namespace oriolefall::peer

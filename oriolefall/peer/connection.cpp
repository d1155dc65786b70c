#include "oriolefall/peer/connection.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace oriolefall::peer {

namespace {

constexpr std::size_t read_bytes = std::size_t{16} * 1024;
/// Reads in a row from one connection, so that others get their turn.
constexpr int max_reads = 16;
/// Bytes taken from the session ahead of the socket.
constexpr std::size_t output_bytes = std::size_t{64} * 1024;

session_settings to_session(const link_settings& settings)
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

connection::connection(unique_fd fd, proof_role role,
                       const link_settings& settings, absl::Time now)
    : fd_(std::move(fd)), role_(role),
      handshake_limit_(settings.handshake_limit),
      ping_after_(settings.ping_after), silent_after_(settings.silent_after),
      session_(role, to_session(settings)), began_(now), heard_(now),
      is_connecting_(role == proof_role::dialer)
{
    fill_output();
}

void connection::read(absl::Time now, link_counters& counters)
{
    std::array<char, read_bytes> buffer{};
    for (int reads = 0; reads < max_reads && !fault(); ++reads) {
        const ssize_t size = recv(fd_.get(), buffer.data(), buffer.size(), 0);
        if (size < 0 && would_block())
            return;
        if (size <= 0) {
            end(is_connecting_ ? refusal::connect_failed
                               : refusal::connection_lost);
            return;
        }
        heard_ = now;
        has_pinged_ = false;
        counters.received(static_cast<std::size_t>(size));
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
                end(refusal::connection_lost);
            return;
        }
        counters.sent(static_cast<std::size_t>(size));
        output_.erase(0, static_cast<std::size_t>(size));
        fill_output();
    }
}

bool connection::send(std::string_view record)
{
    return session_.send(record);
}

void connection::check_time(absl::Time now)
{
    if (!session_.is_open()) {
        if (now - began_ >= handshake_limit_)
            end(is_connecting_ ? refusal::connect_failed
                               : refusal::handshake_timeout);
        return;
    }
    if (now - heard_ >= silent_after_) {
        end(refusal::silent);
        return;
    }
    if (now - heard_ >= ping_after_ && !has_pinged_) {
        has_pinged_ = true;
        session_.ping();
    }
}

void connection::end(refusal why)
{
    if (!fault())
        fault_ = why;
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
    return session_.is_open() && !fault();
}

std::optional<refusal> connection::fault() const
{
    return fault_ ? fault_ : session_.fault();
}

proof_role connection::role() const
{
    return role_;
}

const introduction& connection::peer() const
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

absl::Time connection::next_check() const
{
    if (!session_.is_open())
        return began_ + handshake_limit_;
    return heard_ + (has_pinged_ ? silent_after_ : ping_after_);
}

void connection::finish_connect()
{
    if (!is_connecting_)
        return;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(refusal::connect_failed);
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
    session_.take_output(output_, output_bytes);
}

} // namespace oriolefall::peer

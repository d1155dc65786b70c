#ifndef ORIOLEFALL_PEER_CONNECTION_HPP
#define ORIOLEFALL_PEER_CONNECTION_HPP

#include "oriolefall/peer/link_counters.hpp"
#include "oriolefall/peer/link_settings.hpp"
#include "oriolefall/peer/session.hpp"
#include "oriolefall/peer/socket.hpp"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::peer {

/// A session with its socket and timeouts. Peer thread only.
class connection
{
public:
    connection(unique_fd fd, connection_role role,
               const link_settings& settings, absl::Time now);

    /// Reads from the socket without blocking.
    void read(absl::Time now, link_counters& counters);
    /// Completes a pending connect and writes to the socket without blocking.
    void write(link_counters& counters);
    /// Queues a record; false if the send queue is full or the session is not
    /// open.
    bool send(std::string_view record);
    /// Sends a ping after `keepalive_time` without received bytes, and closes
    /// the connection after `receive_timeout` or `handshake_timeout`.
    void check_timeouts(absl::Time now);
    /// Marks the connection as closed; the first reason is kept. The owner
    /// removes the connection, which closes the socket.
    void close(refusal reason);

    [[nodiscard]] int fd() const;
    [[nodiscard]] bool wants_write() const;
    [[nodiscard]] bool is_open() const;
    [[nodiscard]] std::optional<refusal> close_reason() const;
    [[nodiscard]] connection_role role() const;
    [[nodiscard]] const handshake_params& peer() const;
    [[nodiscard]] std::uint32_t version() const;
    [[nodiscard]] std::vector<std::string> take_records();
    /// When to call `check_timeouts` next.
    [[nodiscard]] absl::Time next_timeout_check() const;

private:
    void finish_connect();
    void fill_output();

    unique_fd fd_;
    connection_role role_;
    absl::Duration handshake_timeout_;
    absl::Duration keepalive_time_;
    absl::Duration receive_timeout_;
    session session_;
    std::string output_;
    absl::Time started_at_;
    absl::Time received_at_;
    bool is_connecting_ = false;
    bool has_pinged_ = false;
    std::optional<refusal> close_reason_;
};

} // namespace oriolefall::peer

#endif

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

/// A session on its socket, with its limits on time. Peer thread only.
class connection
{
public:
    connection(unique_fd fd, connection_role role,
               const link_settings& settings, absl::Time now);

    /// Moves bytes both ways as far as that goes without waiting.
    void read(absl::Time now, link_counters& counters);
    void write(link_counters& counters);
    /// Queues a record; false when there is no room for it.
    bool send(std::string_view record);
    /// Asks a silent peer for a sign of life, and ends what stays silent.
    void check_timeouts(absl::Time now);
    void close(refusal reason);

    [[nodiscard]] int fd() const;
    [[nodiscard]] bool wants_write() const;
    [[nodiscard]] bool is_open() const;
    [[nodiscard]] std::optional<refusal> close_reason() const;
    [[nodiscard]] connection_role role() const;
    [[nodiscard]] const handshake_params& peer() const;
    [[nodiscard]] std::uint32_t version() const;
    [[nodiscard]] std::vector<std::string> take_records();
    /// When `check_time` is due.
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

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
    connection(unique_fd fd, proof_role role, const link_settings& settings,
               absl::Time now);

    /// Moves bytes both ways as far as that goes without waiting.
    void read(absl::Time now, link_counters& counters);
    void write(link_counters& counters);
    /// Queues a record; false when there is no room for it.
    bool send(std::string_view record);
    /// Asks a silent peer for a sign of life, and ends what stays silent.
    void check_time(absl::Time now);
    void end(refusal why);

    [[nodiscard]] int fd() const;
    [[nodiscard]] bool wants_write() const;
    [[nodiscard]] bool is_open() const;
    [[nodiscard]] std::optional<refusal> fault() const;
    [[nodiscard]] proof_role role() const;
    [[nodiscard]] const introduction& peer() const;
    [[nodiscard]] std::uint32_t version() const;
    [[nodiscard]] std::vector<std::string> take_records();
    /// When `check_time` is due.
    [[nodiscard]] absl::Time next_check() const;

private:
    void finish_connect();
    void fill_output();

    unique_fd fd_;
    proof_role role_;
    absl::Duration handshake_limit_;
    absl::Duration ping_after_;
    absl::Duration silent_after_;
    session session_;
    std::string output_;
    absl::Time began_;
    absl::Time heard_;
    bool is_connecting_ = false;
    bool has_pinged_ = false;
    std::optional<refusal> fault_;
};

} // namespace oriolefall::peer

#endif

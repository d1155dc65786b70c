#ifndef ORIOLEFALL_PEER_SESSION_HPP
#define ORIOLEFALL_PEER_SESSION_HPP

#include "oriolefall/peer/proof.hpp"
#include "oriolefall/peer/record_reader.hpp"
#include "oriolefall/peer/refusal.hpp"

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::peer {

/// Handshake parameters of the own end of a session, and its limits.
struct session_settings
{
    handshake_params self;
    /// Secret key shared by all instances of the fleet.
    std::string key;
    std::size_t max_record_bytes = 0;
    /// Maximum number of bytes queued for sending.
    std::size_t max_queued_bytes = 0;
};

/// The protocol of one connection, independent of its socket: HTTP/2 with prior
/// knowledge (RFC 9113, section 3.3) and a single stream that stays open and
/// carries records in both directions. The dialer sends its handshake
/// parameters in the request headers, the acceptor sends its own and its proof
/// in the response headers, and the first record is the dialer's proof. Neither
/// end accepts anything else before the other end's proof. One thread at a
/// time.
class session
{
public:
    session(connection_role role, session_settings settings);
    ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// Processes bytes received from the other end. Returns false once the
    /// session is closed; see `close_reason`.
    bool feed(std::string_view bytes);
    /// Appends bytes to send to `out` until it holds about `max_bytes` bytes.
    void take_output(std::string& out, std::size_t max_bytes);
    /// Queues a record. Returns false if it would exceed a limit or the session
    /// is not open.
    bool send(std::string_view record);
    /// Queues an HTTP/2 PING frame, which the other end has to acknowledge.
    void ping();

    /// True while the session is not closed and the other end has proved that
    /// it knows the shared key.
    [[nodiscard]] bool is_open() const;
    /// Why the session was closed; empty while it is not.
    [[nodiscard]] std::optional<refusal> close_reason() const;
    /// Handshake parameters of the other end; authenticated once the session is
    /// open.
    [[nodiscard]] const handshake_params& peer() const;
    /// The negotiated protocol version; 0 before negotiation.
    [[nodiscard]] std::uint32_t version() const;
    /// Returns the records received since the last call.
    [[nodiscard]] std::vector<std::string> take_records();

private:
    using headers = std::map<std::string, std::string>;

    static int on_header(nghttp2_session* handle, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size,
                         const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t flags, void* user_data);
    static int on_frame(nghttp2_session* handle, const nghttp2_frame* frame,
                        void* user_data);
    static int on_data(nghttp2_session* handle, std::uint8_t flags,
                       std::int32_t stream, const std::uint8_t* data,
                       std::size_t size, void* user_data);
    static int on_stream_close(nghttp2_session* handle, std::int32_t stream,
                               std::uint32_t error, void* user_data);
    static ssize_t read_data(nghttp2_session* handle, std::int32_t stream,
                             std::uint8_t* buffer, std::size_t size,
                             std::uint32_t* flags, nghttp2_data_source* source,
                             void* user_data);

    void close(refusal reason);
    void submit_request();
    void on_request(std::int32_t stream);
    void on_response();
    void on_record(std::string record);
    bool parse_handshake_params();
    void submit_response(std::int32_t stream, const char* status);
    void enqueue(std::string_view record);
    [[nodiscard]] const handshake_params& dialer() const;
    [[nodiscard]] const handshake_params& acceptor() const;
    [[nodiscard]] std::string compute_proof(connection_role role) const;

    struct handle_deleter
    {
        void operator()(nghttp2_session* handle) const;
    };

    connection_role role_;
    session_settings settings_;
    handshake_params peer_;
    headers headers_;
    std::size_t header_bytes_ = 0;
    record_reader reader_;
    std::vector<std::string> records_;
    /// Bytes queued for the stream. nghttp2 has already taken the first
    /// `send_offset_` of them.
    std::string send_buffer_;
    std::size_t send_offset_ = 0;
    std::int32_t stream_ = -1;
    std::uint32_t version_ = 0;
    bool is_open_ = false;
    std::optional<refusal> close_reason_;
    std::unique_ptr<nghttp2_session, handle_deleter> handle_;
};

} // namespace oriolefall::peer

#endif

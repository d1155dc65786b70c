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

/// What a session needs to know of its own end, and its limits.
struct session_settings
{
    handshake_params self;
    /// Key that all instances of the fleet share.
    std::string key;
    std::size_t max_record_bytes = 0;
    /// Bytes that wait to be sent at most.
    std::size_t max_queued_bytes = 0;
};

/// One connection's protocol without its socket: HTTP/2 with prior knowledge
/// (RFC 9113, section 3.3), on it one stream that stays open and carries
/// records both ways. The dialer introduces itself in the request's headers,
/// the acceptor itself and its proof in the response's, and the dialer's proof
/// is the first record. Nothing else is taken from either end before that.
/// One thread at a time.
class session
{
public:
    session(connection_role role, session_settings settings);
    ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// Takes bytes from the other end. False once the session has ended; see
    /// `fault`.
    bool feed(std::string_view bytes);
    /// Adds the bytes that are to be sent to `out`, up to about `most`.
    void take_output(std::string& out, std::size_t max_bytes);
    /// Queues a record. False when it would be beyond the limit or the session
    /// is not open.
    bool send(std::string_view record);
    /// Asks for a sign of life.
    void ping();

    /// True once both ends have proved themselves.
    [[nodiscard]] bool is_open() const;
    /// Why the session has ended, if it has.
    [[nodiscard]] std::optional<refusal> close_reason() const;
    /// The other end, as it introduced itself; proved when open.
    [[nodiscard]] const handshake_params& peer() const;
    /// The agreed version of the protocol; 0 before.
    [[nodiscard]] std::uint32_t version() const;
    /// Records that have come since the last call.
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
    /// Bytes for the stream that nghttp2 has not taken; the first `sent_` of
    /// them have been.
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

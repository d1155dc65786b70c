#ifndef ORIOLEFALL_FRONT_CONNECTION_HPP
#define ORIOLEFALL_FRONT_CONNECTION_HPP

#include "oriolefall/front/front_settings.hpp"
#include "oriolefall/front/stop_signal.hpp"

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <httplib.h>
#include <string>
#include <string_view>

namespace oriolefall::front {

/// Result of the wait for the head of a connection's next request.
enum class request_head_result
{
    received,   ///< the head is complete
    no_request, ///< nothing was received, or the connection ended
    too_large,  ///< the head is longer than `max_header_bytes`
    timed_out   ///< the head was not complete within `request_timeout`
};

/// One caller's TCP connection. Limits the size and duration of what the HTTP
/// library reads from it, because the library itself limits neither the head
/// of a request nor a chunked body. Waits block in poll() until the socket is
/// ready or the deadline passes. Not thread-safe: used by the worker thread
/// that serves it.
class connection : public httplib::Stream
{
public:
    /// Takes ownership of `descriptor`, a non-blocking socket. `settings` must
    /// outlive this object.
    connection(int descriptor, const front_settings& settings);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    /// Closes the socket. After a limit was exceeded it first reads and drops
    /// what the caller still sends, up to a limit in time and bytes:
    /// otherwise the answer might not reach the caller.
    ~connection() override;

    /// Blocks until the head of the next request is complete. Gives up when no
    /// byte has arrived after `idle_timeout` or once `stop` is raised.
    [[nodiscard]] request_head_result await_request(absl::Duration idle_timeout,
                                                    const stop_signal& stop);
    /// True when another request can be read: all reads and writes succeeded
    /// within their limits, and the head of the last request was read to its
    /// end.
    [[nodiscard]] bool is_reusable() const
    {
        return is_usable_ && head_offset_ == head_.size();
    }
    /// Makes the destructor read and drop what the caller still sends before
    /// it closes the socket, so that an answer sent before the end of the
    /// request reaches the caller.
    void drain_at_close()
    {
        drain_at_close_ = true;
    }
    /// Sends as much of the connection's last answer as fits into the socket's
    /// send buffer. Never blocks.
    void write_final_answer(std::string_view answer);
    /// False once the caller has closed its end of the connection. Never
    /// blocks.
    [[nodiscard]] bool is_caller_connected() const;

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* out, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] int socket() const override
    {
        return descriptor_;
    }

private:
    [[nodiscard]] bool wait_for_events(short events, absl::Time deadline) const;
    [[nodiscard]] bool await_first_byte(absl::Duration idle_timeout,
                                        const stop_signal& stop) const;
    [[nodiscard]] request_head_result read_head();
    /// Reads into the empty buffer. False at the end of the connection, on an
    /// error or at the deadline of the request.
    bool fill_buffer();
    /// Reads and drops what the caller sends until it closes the connection or
    /// a limit in time or bytes is reached.
    void drain();

    static constexpr std::size_t buffer_bytes = 4096;

    int descriptor_;
    const front_settings& settings_;
    std::array<char, buffer_bytes> buffer_{};
    std::size_t buffer_begin_ = 0;
    std::size_t buffer_end_ = 0;
    /// The head of the current request, and how many bytes of it have been
    /// read by the HTTP library.
    std::string head_;
    std::size_t head_offset_ = 0;
    /// Bytes that may still be read for the body of the current request.
    std::size_t body_bytes_left_ = 0;
    /// Deadline for reading the whole of the current request.
    absl::Time read_deadline_ = absl::InfiniteFuture();
    bool is_usable_ = true;
    bool drain_at_close_ = false;
};

} // namespace oriolefall::front

#endif

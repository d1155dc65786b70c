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

/// How the wait for the next request of a connection ended.
enum class request_start
{
    ready,     ///< its head has come whole
    none,      ///< nothing came, or the connection ended
    too_large, ///< its head is above the limit
    too_late   ///< its head did not come in time
};

/// One caller's TCP connection. Bounds what the HTTP library reads from it
/// in bytes and in time: the library itself bounds neither the head of a
/// request nor a chunked body. Waits without polling in steps. For the
/// worker that serves it.
class connection : public httplib::Stream
{
public:
    /// Takes over `descriptor`, a socket that does not block. `settings`
    /// must outlive this object.
    connection(int descriptor, const front_settings& settings);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    /// Closes the socket. After a limit was met, what the caller still sends
    /// is read for a short while first, so that its answer reaches it.
    ~connection() override;

    /// Blocks for the head of the next request. Without a request it ends
    /// after `idle` or once `stop` was raised.
    [[nodiscard]] request_start await_request(absl::Duration idle,
                                              const stop_signal& stop);
    /// True while all reads and writes kept within their limits and the head
    /// of the request was understood to its end.
    [[nodiscard]] bool sound() const
    {
        return sound_ && head_at_ == head_.size();
    }
    /// Whatever the caller still sends is read and dropped before the socket
    /// is closed, so that an early answer reaches it.
    void drop_rest_at_close()
    {
        drop_rest_ = true;
    }
    /// Writes a last answer as far as it goes without waiting.
    void write_closing(std::string_view answer);
    /// False once the caller has closed its side. Never blocks.
    [[nodiscard]] bool caller_here() const;

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
    [[nodiscard]] bool wait_for(short events, absl::Time until) const;
    [[nodiscard]] bool await_first_byte(absl::Duration idle,
                                        const stop_signal& stop) const;
    [[nodiscard]] request_start read_head();
    /// Reads into the empty buffer; false at the end or a limit.
    bool fill_buffer();
    /// Reads and drops what the caller sends until it closes or a limit.
    void drain();

    static constexpr std::size_t buffer_bytes = 4096;

    int descriptor_;
    const front_settings& settings_;
    std::array<char, buffer_bytes> buffer_{};
    std::size_t buffer_begin_ = 0;
    std::size_t buffer_end_ = 0;
    /// The head of the present request, and how far it has been read.
    std::string head_;
    std::size_t head_at_ = 0;
    /// Bytes that the body of the present request may still have.
    std::size_t bytes_left_ = 0;
    /// When the present request must have been read.
    absl::Time read_until_ = absl::InfiniteFuture();
    bool sound_ = true;
    bool drop_rest_ = false;
};

} // namespace oriolefall::front

#endif

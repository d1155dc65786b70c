#ifndef ORIOLEFALL_TESTS_FRONT_RAW_CALLER_HPP
#define ORIOLEFALL_TESTS_FRONT_RAW_CALLER_HPP

#include <string>
#include <string_view>

namespace oriolefall::tests {

/// A TCP client that sends arbitrary bytes and closes its connection at any
/// point.
class raw_caller
{
public:
    /// Connects to a port on the loopback address. `receive_buffer_bytes`:
    /// approximate size of the kernel's receive buffer (SO_RCVBUF); 0 for its
    /// default.
    explicit raw_caller(int port, int receive_buffer_bytes = 0);
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    ~raw_caller();

    /// Sends all bytes, or fewer when the peer closes the connection.
    void send(std::string_view bytes) const;
    /// Reads once what has arrived.
    void read_some();
    /// Reads until `text` was received or the connection has ended. Returns
    /// everything received since the connection was opened.
    std::string read_until(std::string_view text);
    /// Reads to the end of the connection. Returns everything received since
    /// the connection was opened.
    std::string read_all();
    /// Shuts down the sending direction of the connection.
    void finish_sending() const;
    void close();

private:
    /// Receives once; false at the end of the connection.
    bool receive();

    int descriptor_;
    std::string received_;
};

/// Returns a whole HTTP request for a chat completion.
[[nodiscard]] std::string chat_request_bytes(const std::string& body);

} // namespace oriolefall::tests

#endif

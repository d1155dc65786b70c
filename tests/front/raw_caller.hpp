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
    /// Connects to a port on the loopback address.
    explicit raw_caller(int port);
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    ~raw_caller();

    /// Sends all bytes, or fewer when the peer closes the connection.
    void send(std::string_view bytes) const;
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
    int descriptor_;
    std::string received_;
};

/// Returns a whole HTTP request for a chat completion.
[[nodiscard]] std::string chat_request_bytes(const std::string& body);

} // namespace oriolefall::tests

#endif

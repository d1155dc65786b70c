#ifndef ORIOLEFALL_TESTS_FRONT_RAW_CALLER_HPP
#define ORIOLEFALL_TESTS_FRONT_RAW_CALLER_HPP

#include <string>
#include <string_view>

namespace oriolefall::tests {

/// A caller that sends bytes of its own and closes when it likes.
class raw_caller
{
public:
    /// Connects to a port of this machine.
    explicit raw_caller(int port);
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    ~raw_caller();

    /// Sends as much as the other side takes.
    void send(std::string_view bytes) const;
    /// Reads until `text` has come or the connection ends; all that came.
    std::string read_until(std::string_view text);
    /// Reads to the end of the connection; all that came.
    std::string read_all();
    /// Tells the other side that nothing more will be sent.
    void finish_sending() const;
    void close();

private:
    int descriptor_;
    std::string received_;
};

/// The bytes of a chat request.
[[nodiscard]] std::string chat_bytes(const std::string& body);

} // namespace oriolefall::tests

#endif

#ifndef ORIOLEFALL_TESTS_FORWARD_SCRIPTED_SERVER_HPP
#define ORIOLEFALL_TESTS_FORWARD_SCRIPTED_SERVER_HPP

#include "oriolefall/core/backend_server.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oriolefall::tests {

/// One connection of a scripted server, as its script sees it.
class scripted_connection
{
public:
    explicit scripted_connection(int descriptor);

    /// Reads one request with its body; empty when the peer closed.
    std::string read_request();
    void write(const std::string& bytes) const;
    /// Makes the coming close send a reset (RST).
    void reset_on_close();
    /// Waits until the peer closes; discards what it sends.
    void wait_for_close() const;

private:
    int descriptor_;
    std::string received_;
};

/// How the connection ends after a script's last bytes.
enum class connection_end : std::uint8_t
{
    close,
    reset
};

/// A backend server that runs a test's script on each of its connections, each
/// on its own thread.
class scripted_server
{
public:
    using script = std::function<void(scripted_connection&)>;

    /// `receive_buffer_bytes`: approximate size of the kernel's receive buffer
    /// of each connection (SO_RCVBUF); 0 for the kernel's default.
    explicit scripted_server(script script, int receive_buffer_bytes = 0);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] core::endpoint endpoint() const;
    /// Number of connections accepted so far.
    [[nodiscard]] int connection_count() const;

private:
    void accept_all();

    script script_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> connection_count_ = 0;
    std::mutex mutex_;
    std::vector<int> open_connections_;
    std::vector<std::thread> connection_threads_;
    std::thread accept_thread_;
};

/// Answers each request on a connection with these bytes.
[[nodiscard]] scripted_server::script always_answers(const std::string& bytes);

/// Answers one request with these bytes and ends the connection.
[[nodiscard]] scripted_server::script
answers_once(const std::string& bytes,
             connection_end end = connection_end::close);

} // namespace oriolefall::tests

#endif

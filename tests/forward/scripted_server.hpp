#ifndef ORIOLEFALL_TESTS_FORWARD_SCRIPTED_SERVER_HPP
#define ORIOLEFALL_TESTS_FORWARD_SCRIPTED_SERVER_HPP

#include "oriolefall/core/backend_server.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oriolefall::tests {

/// What a scripted server does on one connection.
class script_connection
{
public:
    explicit script_connection(int descriptor);

    /// Reads one request with its body; empty when the other side closed.
    std::string read_request();
    void write(const std::string& bytes) const;
    /// Closes with a reset.
    void reset();
    /// Waits until the other side closes.
    void wait_for_close() const;

private:
    int descriptor_;
    std::string received_;
};

/// A backend server that does what a test says on each of its connections, on
/// a thread of its own each.
class scripted_server
{
public:
    using script = std::function<void(script_connection&)>;

    /// `receive_bytes`: what the kernel takes for a connection that is not
    /// read, about; 0 for its own choice.
    explicit scripted_server(script script, int receive_bytes = 0);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] core::endpoint endpoint() const;
    [[nodiscard]] int connections() const;

private:
    void accept_all();

    script script_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> connections_ = 0;
    std::mutex mutex_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace oriolefall::tests

#endif

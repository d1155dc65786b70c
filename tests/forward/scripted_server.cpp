#include "scripted_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <stdexcept>

namespace oriolefall::tests {

namespace {

std::size_t parse_content_length(const std::string& head)
{
    std::string lower = head;
    std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    const std::string name = "content-length: ";
    const auto position = lower.find(name);
    return position == std::string::npos
               ? 0
               : std::strtoul(lower.c_str() + position + name.size(), nullptr,
                              10);
}

} // namespace

scripted_connection::scripted_connection(int descriptor)
    : descriptor_(descriptor)
{
}

std::string scripted_connection::read_request()
{
    std::array<char, 4096> bytes{};
    for (;;) {
        const auto end = received_.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto size =
                end + 4 + parse_content_length(received_.substr(0, end));
            if (received_.size() >= size) {
                std::string request = received_.substr(0, size);
                received_.erase(0, size);
                return request;
            }
        }
        const auto received =
            ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        if (received <= 0)
            return {};
        received_.append(bytes.data(), static_cast<std::size_t>(received));
    }
}

void scripted_connection::write(const std::string& bytes) const
{
    std::size_t position = 0;
    while (position < bytes.size()) {
        const auto sent = ::send(descriptor_, bytes.data() + position,
                                 bytes.size() - position, MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        position += static_cast<std::size_t>(sent);
    }
}

void scripted_connection::reset_on_close()
{
    const linger zero_timeout{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &zero_timeout,
                 sizeof(zero_timeout));
}

void scripted_connection::wait_for_close() const
{
    char byte = 0;
    while (::recv(descriptor_, &byte, 1, 0) > 0) {
    }
}

scripted_server::scripted_server(script script, int receive_buffer_bytes)
    : script_(std::move(script)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    // Accepted connections inherit the buffer size.
    if (receive_buffer_bytes > 0)
        ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof(receive_buffer_bytes));
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(listener_, 64) != 0)
        throw std::runtime_error("cannot listen");
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    accept_thread_ = std::thread([this] { accept_all(); });
}

scripted_server::~scripted_server()
{
    ::shutdown(listener_, SHUT_RDWR);
    accept_thread_.join();
    {
        const std::lock_guard lock(mutex_);
        std::ranges::for_each(open_connections_,
                              [](int each) { ::shutdown(each, SHUT_RDWR); });
    }
    std::ranges::for_each(connection_threads_,
                          [](std::thread& each) { each.join(); });
    ::close(listener_);
}

core::endpoint scripted_server::endpoint() const
{
    return {"127.0.0.1", port_};
}

int scripted_server::connection_count() const
{
    return connection_count_;
}

void scripted_server::accept_all()
{
    for (;;) {
        const int descriptor = ::accept(listener_, nullptr, nullptr);
        if (descriptor < 0)
            return;
        ++connection_count_;
        {
            const std::lock_guard lock(mutex_);
            open_connections_.push_back(descriptor);
        }
        connection_threads_.emplace_back([this, descriptor] {
            scripted_connection connection(descriptor);
            script_(connection);
            const std::lock_guard lock(mutex_);
            std::erase(open_connections_, descriptor);
            ::close(descriptor);
        });
    }
}

scripted_server::script always_answers(const std::string& bytes)
{
    return [bytes](scripted_connection& connection) {
        while (!connection.read_request().empty())
            connection.write(bytes);
    };
}

scripted_server::script answers_once(const std::string& bytes,
                                     connection_end end)
{
    return [bytes, end](scripted_connection& connection) {
        connection.read_request();
        connection.write(bytes);
        if (end == connection_end::reset)
            connection.reset_on_close();
    };
}

} // namespace oriolefall::tests

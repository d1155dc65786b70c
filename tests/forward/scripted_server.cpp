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

std::size_t body_bytes(const std::string& head)
{
    std::string lower = head;
    std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    const std::string name = "content-length: ";
    const auto at = lower.find(name);
    return at == std::string::npos
               ? 0
               : std::strtoul(lower.c_str() + at + name.size(), nullptr, 10);
}

} // namespace

script_connection::script_connection(int descriptor) : descriptor_(descriptor)
{
}

std::string script_connection::read_request()
{
    std::array<char, 4096> bytes{};
    for (;;) {
        const auto end = received_.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto size = end + 4 + body_bytes(received_.substr(0, end));
            if (received_.size() >= size) {
                std::string request = received_.substr(0, size);
                received_.erase(0, size);
                return request;
            }
        }
        const auto got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        if (got <= 0)
            return {};
        received_.append(bytes.data(), static_cast<std::size_t>(got));
    }
}

void script_connection::write(const std::string& bytes) const
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const auto sent = ::send(descriptor_, bytes.data() + at,
                                 bytes.size() - at, MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        at += static_cast<std::size_t>(sent);
    }
}

void script_connection::reset()
{
    const linger at_once{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

void script_connection::wait_for_close() const
{
    char byte = 0;
    while (::recv(descriptor_, &byte, 1, 0) > 0) {
    }
}

scripted_server::scripted_server(script script, int receive_bytes)
    : script_(std::move(script)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    // Connections that are accepted inherit it.
    if (receive_bytes > 0)
        ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                     sizeof(receive_bytes));
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(listener_, 64) != 0)
        throw std::runtime_error("cannot listen");
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { accept_all(); });
}

scripted_server::~scripted_server()
{
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    {
        const std::lock_guard lock(mutex_);
        std::ranges::for_each(open_,
                              [](int each) { ::shutdown(each, SHUT_RDWR); });
    }
    std::ranges::for_each(threads_, [](std::thread& each) { each.join(); });
    ::close(listener_);
}

core::endpoint scripted_server::endpoint() const
{
    return {"127.0.0.1", port_};
}

int scripted_server::connections() const
{
    return connections_;
}

void scripted_server::accept_all()
{
    for (;;) {
        const int accepted = ::accept(listener_, nullptr, nullptr);
        if (accepted < 0)
            return;
        ++connections_;
        {
            const std::lock_guard lock(mutex_);
            open_.push_back(accepted);
        }
        threads_.emplace_back([this, accepted] {
            script_connection connection(accepted);
            script_(connection);
            const std::lock_guard lock(mutex_);
            std::erase(open_, accepted);
            ::close(accepted);
        });
    }
}

} // namespace oriolefall::tests

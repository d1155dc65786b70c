#include "tests/front/raw_caller.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace oriolefall::tests {

raw_caller::raw_caller(int port, int receive_buffer_bytes)
    : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
{
    if (receive_buffer_bytes > 0)
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof(receive_buffer_bytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0)
        throw std::runtime_error("cannot connect");
}

raw_caller::~raw_caller()
{
    close();
}

void raw_caller::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

bool raw_caller::receive()
{
    std::array<char, 16384> buffer{};
    const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (size > 0)
        received_.append(buffer.data(), static_cast<std::size_t>(size));
    return size > 0;
}

void raw_caller::read_some()
{
    receive();
}

std::string raw_caller::read_until(std::string_view text)
{
    while (text.empty() || received_.find(text) == std::string::npos)
        if (!receive())
            break;
    return received_;
}

std::string raw_caller::read_all()
{
    return read_until({});
}

void raw_caller::finish_sending() const
{
    ::shutdown(descriptor_, SHUT_WR);
}

void raw_caller::close()
{
    if (descriptor_ >= 0)
        ::close(std::exchange(descriptor_, -1));
}

std::string chat_request_bytes(const std::string& body)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
           "X-Workspace: almaty\r\nX-Service-Class: rules\r\n"
           "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace oriolefall::tests

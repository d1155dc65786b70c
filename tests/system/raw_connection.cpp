#include "raw_connection.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oriolefall::tests {

std::string exchange_bytes(const core::endpoint& to, std::string_view bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    std::string answer;
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0) {
        ssize_t sent = 1;
        while (!bytes.empty() && sent > 0) {
            sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            bytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
        }
        std::array<char, 4096> part;
        ssize_t got = 0;
        while ((got = ::recv(socket, part.data(), part.size(), 0)) > 0)
            answer.append(part.data(), static_cast<std::size_t>(got));
    }
    ::close(socket);
    return answer;
}

} // namespace oriolefall::tests

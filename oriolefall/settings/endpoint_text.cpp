#include "oriolefall/settings/endpoint_text.hpp"

#include "oriolefall/core/concat.hpp"

#include <absl/strings/numbers.h>

#include <arpa/inet.h>

#include <cstdint>
#include <limits>

namespace oriolefall::settings {

namespace {

bool is_ip_address(const std::string& text, int family)
{
    in6_addr parsed{};
    return inet_pton(family, text.c_str(), &parsed) == 1;
}

} // namespace

std::optional<core::endpoint> parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string address = text.substr(0, colon);
    const bool is_bracketed =
        address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (is_bracketed)
        address = address.substr(1, address.size() - 2);
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) ||
        port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    if (!is_ip_address(address, is_bracketed ? AF_INET6 : AF_INET))
        return std::nullopt;
    return core::endpoint{address, static_cast<std::uint16_t>(port)};
}

std::string format_endpoint(const core::endpoint& value)
{
    const bool is_v6 = value.address.find(':') != std::string::npos;
    return is_v6 ? core::concat("[", value.address, "]:", value.port)
                 : core::concat(value.address, ":", value.port);
}

} // namespace oriolefall::settings

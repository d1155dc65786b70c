#ifndef ORIOLEFALL_TESTS_SYSTEM_RAW_CONNECTION_HPP
#define ORIOLEFALL_TESTS_SYSTEM_RAW_CONNECTION_HPP

#include "oriolefall/core/backend_server.hpp"

#include <string>
#include <string_view>

namespace oriolefall::tests {

/// Sends bytes that need not be HTTP and gives all that comes back until the
/// other end closes; what it does not take is left out.
[[nodiscard]] std::string exchange_bytes(const core::endpoint& to,
                                         std::string_view bytes);

} // namespace oriolefall::tests

#endif

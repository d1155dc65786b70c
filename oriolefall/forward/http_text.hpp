#ifndef ORIOLEFALL_FORWARD_HTTP_TEXT_HPP
#define ORIOLEFALL_FORWARD_HTTP_TEXT_HPP

#include "oriolefall/dispatch/action.hpp"
#include "oriolefall/net/beast.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::forward {

/// How the body of an answer to a caller is framed.
struct body_framing
{
    /// Length of the body; empty when the body is chunked or ends with the
    /// connection.
    std::optional<std::size_t> length;
    /// Chunked transfer coding. Without it and without a length, closing the
    /// connection ends the body.
    bool chunked = false;
};

/// True for a hop-by-hop header field: one that applies to a single connection
/// by definition, or that `connection`, the value of the message's Connection
/// field, lists.
[[nodiscard]] bool is_hop_by_hop(std::string_view name,
                                 std::string_view connection);

/// Appends one header field line.
void append_field(std::string& text, std::string_view name,
                  std::string_view value);

/// The timeout in the value of a Keep-Alive field, if it has one.
[[nodiscard]] std::optional<std::chrono::milliseconds>
parse_keep_alive_timeout(std::string_view text);

/// Formats a backend server's response head for the caller.
[[nodiscard]] std::string
format_caller_head(const http::response_header<>& head,
                   const body_framing& framing, bool close_after);

/// Formats the complete answer to a request that this instance refuses.
[[nodiscard]] std::string format_refusal(const dispatch::refuse& action,
                                         bool close_after);
/// Formats the complete answer to a request that could not be parsed or was not
/// received in time.
[[nodiscard]] std::string format_invalid_request(http::status status);

/// Formats one chunk of a chunked body.
[[nodiscard]] std::string format_chunk(std::string_view bytes);
/// Ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace oriolefall::forward

#endif

#ifndef ORIOLEFALL_FORWARD_HEAD_TEXT_HPP
#define ORIOLEFALL_FORWARD_HEAD_TEXT_HPP

#include "oriolefall/dispatch/action.hpp"
#include "oriolefall/net/beast.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::forward {

/// How the body of an answer is framed towards the caller.
struct body_framing
{
    /// Bytes of the body; nothing when it ends in another way.
    std::optional<std::size_t> length;
    /// In chunks; else, without a length, the connection's end ends it.
    bool chunked = false;
};

/// True for a field that concerns one connection only, or that `connection`,
/// the value of the message's Connection field, names.
[[nodiscard]] bool is_of_connection(std::string_view name,
                                    std::string_view connection);

/// Adds one field line.
void append_field(std::string& text, std::string_view name,
                  std::string_view value);

/// A backend server's head as it goes to the caller.
[[nodiscard]] std::string caller_head(const http::response_header<>& head,
                                      const body_framing& framing,
                                      bool close_after);

/// An answer of this instance's own, whole.
[[nodiscard]] std::string refusal_text(const dispatch::refuse& order,
                                       bool close_after);
/// An answer to a message that could not be read.
[[nodiscard]] std::string fault_text(http::status status);

/// One chunk of a body in chunks, and its end.
[[nodiscard]] std::string chunk_text(std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace oriolefall::forward

#endif

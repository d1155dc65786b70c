#ifndef ORIOLEFALL_FRONT_REQUEST_HEAD_HPP
#define ORIOLEFALL_FRONT_REQUEST_HEAD_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace oriolefall::front {

/// Returns the length of the request head at the start of `bytes`, including
/// the empty line that ends it; `std::string_view::npos` while the head is
/// incomplete. Thread-safe.
[[nodiscard]] std::size_t head_length(std::string_view bytes);

/// Removes from a complete head the header lines that the HTTP library handles
/// without a limit: `Range`, which is matched by a regular expression whose
/// recursion depth grows with the text, and `Content-Encoding`, for which the
/// body is decompressed to any size. No route uses either. Thread-safe.
[[nodiscard]] std::string remove_unbounded_headers(std::string_view head);

} // namespace oriolefall::front

#endif

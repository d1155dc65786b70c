#ifndef ORIOLEFALL_FRONT_REQUEST_HEAD_HPP
#define ORIOLEFALL_FRONT_REQUEST_HEAD_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace oriolefall::front {

/// Length of the head of a request, with the empty line that ends it, where
/// `bytes` begins with one; `std::string_view::npos` while it is not whole.
/// Any thread.
[[nodiscard]] std::size_t head_length(std::string_view bytes);

/// Takes out of a whole head the header lines that the HTTP library handles
/// without a bound: `Range`, matched by a regular expression whose depth
/// grows with the text, and `Content-Encoding`, inflated without a limit.
/// Neither has a use here. Any thread.
[[nodiscard]] std::string without_unbounded_headers(std::string_view head);

} // namespace oriolefall::front

#endif

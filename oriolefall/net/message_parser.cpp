#include "oriolefall/net/message_parser.hpp"

#include "oriolefall/core/text.hpp"
#include "oriolefall/net/header_fields.hpp"

#include <absl/strings/strip.h>

#include <algorithm>
#include <iterator>
#include <new>
#include <stdexcept>
#include <string_view>

namespace oriolefall::net {

namespace {

/// Maximum size of what is neither head nor body: the line of a chunk with its
/// extensions, or the trailer.
constexpr std::size_t max_framing_bytes = std::size_t{128} * 1024;
constexpr std::string_view last_chunk_line = "0\r\n";
constexpr std::string_view chunked_coding = "chunked";
constexpr unsigned http_1_1 = 11;

message_fault to_fault(const error_code& error)
{
    if (error == http::error::header_limit)
        return message_fault::head_too_large;
    if (error == http::error::body_limit)
        return message_fault::body_too_large;
    return message_fault::malformed;
}

std::string_view bytes_of(const boost::beast::flat_buffer& buffer)
{
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

bool is_chunked_coding(std::string_view coding)
{
    const auto stripped = absl::StripAsciiWhitespace(core::to_absl(coding));
    return core::equals_ignore_case({stripped.data(), stripped.size()},
                                    chunked_coding);
}

} // namespace

template <bool IsRequest>
message_parser<IsRequest>::message_parser(const message_limits& limits)
{
    // An eager parser goes on past its own limits and then reports another
    // error, or none.
    parser_.eager(false);
    parser_.header_limit(static_cast<std::uint32_t>(
        std::min(limits.max_head_bytes, largest_head_bytes)));
    parser_.body_limit(limits.max_body_bytes);
}

template <bool IsRequest>
void message_parser<IsRequest>::expect_no_body()
{
    parser_.skip(true);
}

template <bool IsRequest>
parse_result message_parser<IsRequest>::feed(boost::beast::flat_buffer& buffer)
{
    // Beast throws where a field of a trailer is too long, or memory is.
    try {
        return parse(buffer);
    } catch (const std::length_error&) {
        return message_fault::head_too_large;
    } catch (const std::bad_alloc&) {
        return message_fault::malformed;
    }
}

template <bool IsRequest>
parse_result
message_parser<IsRequest>::feed_past_head(boost::beast::flat_buffer& buffer)
{
    const parse_result result = feed(buffer);
    return result == parse_result(parse_progress::head_complete) ? feed(buffer)
                                                                 : result;
}

template <bool IsRequest>
parse_result message_parser<IsRequest>::parse(boost::beast::flat_buffer& buffer)
{
    while (!parser_.is_done() && buffer.size() > 0 &&
           !is_split_last_chunk(buffer)) {
        const bool had_head = parser_.is_header_done();
        error_code error;
        buffer.consume(parser_.put(buffer.data(), error));
        waits_for_more_ = error == http::error::need_more;
        if (error && !waits_for_more_)
            return to_fault(error);
        if (!had_head && parser_.is_header_done()) {
            if (const auto fault = check_transfer_coding())
                return *fault;
            return parse_progress::head_complete;
        }
        if (waits_for_more_)
            break;
    }
    if (parser_.is_done())
        return parse_progress::message_complete;
    if (buffer.size() > max_framing_bytes)
        return message_fault::malformed;
    return parse_progress::needs_more;
}

template <bool IsRequest>
bool message_parser<IsRequest>::is_split_last_chunk(
    const boost::beast::flat_buffer& buffer) const
{
    return waits_for_more_ && parser_.is_header_done() &&
           buffer.size() == last_chunk_line.size() + 1 &&
           bytes_of(buffer).starts_with(last_chunk_line);
}

template <bool IsRequest>
std::optional<message_fault>
message_parser<IsRequest>::check_transfer_coding() const
{
    const auto [first, last] =
        parser_.get().equal_range(http::field::transfer_encoding);
    if (first == last)
        return std::nullopt;
    const std::string_view codings = to_std(std::prev(last)->value());
    // Without a comma all of it: npos + 1 is 0.
    const std::string_view final_coding =
        codings.substr(codings.rfind(',') + 1);
    if (!is_chunked_coding(final_coding) || parser_.get().version() < http_1_1)
        return message_fault::malformed;
    if (final_coding.size() < codings.size() || std::next(first) != last)
        return message_fault::unsupported_coding;
    return std::nullopt;
}

template <bool IsRequest>
bool message_parser<IsRequest>::finish_at_end_of_stream()
{
    if (!parser_.is_done() && parser_.is_header_done() && parser_.need_eof()) {
        error_code ignored;
        parser_.put_eof(ignored);
    }
    return parser_.is_done();
}

template <bool IsRequest>
bool message_parser<IsRequest>::is_head_complete() const
{
    return parser_.is_header_done();
}

template <bool IsRequest>
bool message_parser<IsRequest>::is_complete() const
{
    return parser_.is_done();
}

template <bool IsRequest>
bool message_parser<IsRequest>::keeps_alive() const
{
    return parser_.keep_alive();
}

template <bool IsRequest>
bool message_parser<IsRequest>::ends_with_connection() const
{
    return parser_.need_eof();
}

template <bool IsRequest>
const typename message_parser<IsRequest>::head_type&
message_parser<IsRequest>::head() const
{
    return parser_.get().base();
}

template <bool IsRequest>
const std::string& message_parser<IsRequest>::body() const
{
    return parser_.get().body();
}

template <bool IsRequest>
std::string message_parser<IsRequest>::take_body()
{
    return std::exchange(parser_.get().body(), {});
}

template <bool IsRequest>
typename message_parser<IsRequest>::message_type
message_parser<IsRequest>::release()
{
    return parser_.release();
}

template class message_parser<true>;
template class message_parser<false>;

} // namespace oriolefall::net

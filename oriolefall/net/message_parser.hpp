#ifndef ORIOLEFALL_NET_MESSAGE_PARSER_HPP
#define ORIOLEFALL_NET_MESSAGE_PARSER_HPP

#include "oriolefall/net/beast.hpp"
#include "oriolefall/net/received_body.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>

namespace oriolefall::net {

/// Bounds of one received message.
struct message_limits
{
    /// Start line and header fields; at most `largest_head_bytes` are allowed.
    std::size_t max_head_bytes = 65536;
    std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
    std::strong_ordering operator<=>(const message_limits&) const = default;
};

/// Beast's fields hold no more than 16 bits of length.
inline constexpr std::size_t largest_head_bytes = 65536;

/// What the bytes given to a parser led to.
enum class parse_progress : std::uint8_t
{
    needs_more,      ///< all bytes that could be used were used
    head_complete,   ///< told once; the body has not been touched
    message_complete ///< bytes that follow belong to the next message
};

/// Why bytes are no message.
enum class message_fault : std::uint8_t
{
    malformed,
    head_too_large,
    body_too_large,
    unsupported_coding ///< chunked, after a transfer coding that isn't known
};

using parse_result = std::variant<parse_progress, message_fault>;

/// Parses one HTTP/1.1 message from bytes that anybody may have sent. Each part
/// of the message has a bound, memory grows only with the bytes that arrive,
/// and no bytes make it throw. Not thread-safe.
template <bool IsRequest>
class message_parser
{
public:
    using message_type = http::message<IsRequest, received_body, http::fields>;
    using head_type = http::header<IsRequest, http::fields>;

    explicit message_parser(const message_limits& limits);

    /// The message has no body, whatever its head says: the answer to a HEAD.
    void expect_no_body();
    /// Parses bytes at the front of `buffer` and consumes them. After a fault
    /// the parser can't be used any more.
    [[nodiscard]] parse_result feed(boost::beast::flat_buffer& buffer);
    /// The same, for a reader that doesn't look at the head before the body.
    [[nodiscard]] parse_result
    feed_past_head(boost::beast::flat_buffer& buffer);
    /// The sender has closed the connection; true if that completes the
    /// message.
    [[nodiscard]] bool finish_at_end_of_stream();

    [[nodiscard]] bool is_head_complete() const;
    [[nodiscard]] bool is_complete() const;
    /// The two below hold once the head is complete.
    [[nodiscard]] bool keeps_alive() const;
    /// Only the end of the connection ends the body.
    [[nodiscard]] bool ends_with_connection() const;
    [[nodiscard]] const head_type& head() const;
    [[nodiscard]] const std::string& body() const;
    /// Takes the part of the body that has arrived.
    [[nodiscard]] std::string take_body();
    [[nodiscard]] message_type release();

private:
    using parser_type = http::parser<IsRequest, received_body>;

    [[nodiscard]] parse_result parse(boost::beast::flat_buffer& buffer);
    /// Bytes at which Beast 1.74 asserts wrongly: the first three bytes of a
    /// last chunk, offered before, and one more.
    [[nodiscard]] bool
    is_split_last_chunk(const boost::beast::flat_buffer& buffer) const;
    [[nodiscard]] std::optional<message_fault> check_transfer_coding() const;

    parser_type parser_;
    /// Nothing of the bytes offered last could be used without more.
    bool waits_for_more_ = false;
};

extern template class message_parser<true>;
extern template class message_parser<false>;

using request_parser = message_parser<true>;
using answer_parser = message_parser<false>;
using received_request = request_parser::message_type;
using received_answer = answer_parser::message_type;

} // namespace oriolefall::net

#endif

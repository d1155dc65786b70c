#ifndef ORIOLEFALL_NET_RECEIVED_BODY_HPP
#define ORIOLEFALL_NET_RECEIVED_BODY_HPP

#include "oriolefall/net/beast.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace oriolefall::net {

/// Body type of a received message (Beast's Body concept): a string that grows
/// with the bytes that arrive. Beast's own string body reserves the length that
/// the sender announces, before any byte of it has come.
struct received_body
{
    using value_type = std::string;

    /// Appends the pieces of a body to a string.
    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& /*announced_length*/,
                  error_code& error)
        {
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& pieces, error_code& error)
        {
            error = {};
            const std::size_t size_before = body_.size();
            for (const asio::const_buffer piece :
                 boost::beast::buffers_range_ref(pieces))
                body_.append(static_cast<const char*>(piece.data()),
                             piece.size());
            return body_.size() - size_before;
        }

        void finish(error_code& error)
        {
            error = {};
        }

    private:
        value_type& body_;
    };
};

} // namespace oriolefall::net

#endif

#ifndef ORIOLEFALL_NET_BEAST_HPP
#define ORIOLEFALL_NET_BEAST_HPP

// Boost.Asio 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace oriolefall {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

} // namespace oriolefall

#endif

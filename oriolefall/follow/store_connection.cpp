#include "oriolefall/follow/store_connection.hpp"

#include "oriolefall/net/header_fields.hpp"
#include "oriolefall/net/socket_options.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <utility>
#include <variant>

namespace oriolefall::follow {

namespace {

/// Pages of a list have about 1 MB.
constexpr std::uint64_t max_answer_size = std::uint64_t{16} * 1024 * 1024;
constexpr std::chrono::milliseconds connect_timeout{700};
/// Maximum gap between two pieces of an answer.
constexpr std::chrono::milliseconds gap_timeout{1200};
constexpr unsigned http_1_1 = 11;
constexpr std::size_t read_bytes = std::size_t{64} * 1024;

} // namespace

bool is_success(const store_result& result)
{
    constexpr unsigned success_status_class = 2;
    const auto* answer = std::get_if<store_answer>(&result);
    return answer != nullptr && answer->status / 100 == success_status_class;
}

store_connection::store_connection(asio::io_context& context,
                                   core::endpoint store,
                                   store_connection_settings settings)
    : context_(context), store_(std::move(store)), settings_(settings),
      start_timer_(context)
{
}

void store_connection::call(const store_request& request, result_hook on_result,
                            send_check may_send)
{
    assert(!on_result_);
    on_result_ = std::move(on_result);
    may_send_ = std::move(may_send);
    request_ = {request.method, request.target, http_1_1};
    request_.set(http::field::host,
                 store_.address + ":" + std::to_string(store_.port));
    for (const auto& [name, value] : request.fields)
        request_.set(net::to_beast(name), net::to_beast(value));
    if (!request.body.empty()) {
        request_.set(http::field::content_type, "application/json");
        request_.body() = request.body;
    }
    request_.prepare_payload();
    timeout_ = request.timeout;
    const auto now = std::chrono::steady_clock::now();
    const auto start_at = std::max(now, next_start_at_);
    next_start_at_ = start_at + settings_.min_call_interval;
    if (start_at == now) {
        start();
        return;
    }
    start_timer_.expires_at(start_at);
    start_timer_.async_wait(
        [self = shared_from_this()](const error_code&) { self->start(); });
}

void store_connection::start()
{
    if (is_unusable())
        stream_.reset();
    const bool is_connected = stream_.has_value();
    if (!is_connected)
        stream_.emplace(context_);
    if (is_connected) {
        send();
        return;
    }
    // A watch may take long, but an unreachable store has to be detected soon.
    stream_->expires_after(std::min(connect_timeout, timeout_));
    buffer_.clear();
    error_code error;
    const auto address = asio::ip::make_address(store_.address, error);
    if (error) {
        asio::post(context_, [self = shared_from_this(), error] {
            self->fail(error.message());
        });
        return;
    }
    stream_->async_connect(
        tcp::endpoint(address, store_.port),
        [self = shared_from_this()](const error_code& connect_error) {
            if (connect_error) {
                self->fail(connect_error.message());
                return;
            }
            self->set_options();
            self->send();
        });
}

void store_connection::set_options()
{
    tcp::socket& socket = stream_->socket();
    net::set_no_delay(socket);
    net::set_ack_timeout(socket, settings_.ack_timeout);
    net::set_keep_alive(socket);
    error_code ignored;
    if (settings_.resets_on_close)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

bool store_connection::is_unusable()
{
    if (!stream_)
        return false;
    char byte = 0;
    const auto received = ::recv(stream_->socket().native_handle(), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void store_connection::send()
{
    if (may_send_ && !may_send_()) {
        // Not from within `call`.
        asio::post(context_, [self = shared_from_this()] {
            self->fail("not sent: no longer allowed");
        });
        return;
    }
    stream_->expires_after(timeout_);
    http::async_write(
        *stream_, request_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
            if (error)
                self->fail(error.message());
            else
                self->receive();
        });
}

void store_connection::receive()
{
    net::message_limits limits;
    limits.max_body_bytes = max_answer_size;
    parser_.emplace(limits);
    receive_some();
}

void store_connection::receive_some()
{
    stream_->async_read_some(buffer_.prepare(read_bytes),
                             [self = shared_from_this()](
                                 const error_code& error, std::size_t bytes) {
                                 self->on_received(error, bytes);
                             });
}

void store_connection::on_received(const error_code& error, std::size_t bytes)
{
    buffer_.commit(bytes);
    if (error == asio::error::eof && parser_->finish_at_end_of_stream()) {
        complete();
        return;
    }
    if (error) {
        fail(error.message());
        return;
    }
    const net::parse_result result = parser_->feed_past_head(buffer_);
    if (std::holds_alternative<net::message_fault>(result)) {
        fail("malformed answer");
        return;
    }
    if (parser_->is_complete()) {
        complete();
        return;
    }
    // The first byte may take until the timeout of the call. After that only
    // the gaps are limited, not the whole answer.
    stream_->expires_after(next_piece_timeout());
    receive_some();
}

std::chrono::milliseconds store_connection::next_piece_timeout() const
{
    return std::min(timeout_, gap_timeout);
}

void store_connection::fail(const std::string& cause)
{
    stream_.reset();
    end_call(store_failure{cause});
}

void store_connection::complete()
{
    // Bytes after the answer would be taken for the next one.
    const bool is_reusable = parser_->keeps_alive() && buffer_.size() == 0;
    if (is_reusable)
        stream_->expires_never();
    else
        stream_.reset();
    net::received_answer answer = parser_->release();
    end_call(store_answer{answer.result_int(), std::move(answer.body()),
                          std::move(answer.base())});
}

void store_connection::end_call(store_result result)
{
    const auto on_result = std::exchange(on_result_, nullptr);
    assert(on_result);
    on_result(std::move(result));
}

} // namespace oriolefall::follow

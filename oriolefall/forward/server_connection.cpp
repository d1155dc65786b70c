#include "oriolefall/forward/server_connection.hpp"

#include "oriolefall/net/socket_options.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace oriolefall::forward {

namespace {

constexpr std::size_t read_bytes = 16384;
/// Maximum number of answers to other requests that are discarded during one
/// call.
constexpr unsigned max_discarded_answers = 2;
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;
constexpr unsigned max_interim_answers = 8;

} // namespace

std::chrono::milliseconds
safe_idle_timeout(std::chrono::milliseconds keep_alive_timeout,
                  std::chrono::milliseconds margin)
{
    return std::max(keep_alive_timeout - margin, keep_alive_timeout / 2);
}

server_connection::server_connection(asio::io_context& context,
                                     const forward_settings& settings,
                                     owner_hooks owner)
    : context_(context), settings_(settings), owner_(std::move(owner)),
      socket_(context), timer_(context),
      idle_timeout_(settings.server_idle_timeout)
{
}

void server_connection::start(const core::endpoint& endpoint,
                              std::shared_ptr<const std::string> body,
                              call_hooks hooks)
{
    call_ = std::make_shared<const call_hooks>(std::move(hooks));
    body_ = std::move(body);
    reset_parser();
    connect(endpoint);
}

void server_connection::start_next(std::shared_ptr<const std::string> body,
                                   call_hooks hooks)
{
    timer_.cancel();
    call_ = std::make_shared<const call_hooks>(std::move(hooks));
    body_ = std::move(body);
    ++earlier_calls_;
    discarded_answers_ = 0;
    discarded_bytes_ = 0;
    reset_parser();
    send();
}

void server_connection::connect(const core::endpoint& endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        asio::post(context_, [self = shared_from_this()] {
            self->fail(call_error::not_connected);
        });
        return;
    }
    timer_.expires_after(settings_.connect_timeout);
    timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
        if (!cancelled && !self->is_connected_)
            self->fail(call_error::not_connected);
    });
    socket_.async_connect(
        {address, endpoint.port},
        [self = shared_from_this()](const error_code& connect_error) {
            self->on_connected(connect_error);
        });
}

void server_connection::on_connected(const error_code& error)
{
    if (is_closed_)
        return;
    if (error) {
        fail(call_error::not_connected);
        return;
    }
    is_connected_ = true;
    timer_.cancel();
    if (!call_->may_send()) {
        fail(call_error::withheld);
        return;
    }
    set_options();
    send();
    read();
}

void server_connection::set_options()
{
    net::set_no_delay(socket_);
    net::set_ack_timeout(socket_, settings_.server_ack_timeout);
    net::set_keep_alive(socket_);
}

void server_connection::send()
{
    is_request_written_ = false;
    has_write_failed_ = false;
    request_head_ = call_->format_request_head();
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(request_head_),
                                                  asio::buffer(*body_)};
    asio::async_write(socket_, bytes,
                      [self = shared_from_this(),
                       body = body_](const error_code& error, std::size_t) {
                          if (self->is_closed_)
                              return;
                          self->on_request_written(error);
                      });
}

void server_connection::on_request_written(const error_code& error)
{
    // A failed write doesn't fail the call: the server may have answered before
    // it closed.
    has_write_failed_ = static_cast<bool>(error);
    is_request_written_ = !error;
    if (call_ && is_end_of_stream_pending_)
        on_end_of_stream();
}

void server_connection::reset_parser()
{
    // No limit on the body: it is passed on in pieces, or given up as soon as
    // more of it has arrived than its use allows.
    parser_.emplace(net::message_limits{});
    if (!call_->expects_body)
        parser_->expect_no_body();
    is_answer_discarded_ = false;
}

void server_connection::read()
{
    if (is_closed_ || is_reading_ || is_paused_)
        return;
    is_reading_ = true;
    socket_.async_read_some(buffer_.prepare(read_bytes),
                            [self = shared_from_this()](const error_code& error,
                                                        std::size_t bytes) {
                                self->on_read(error, bytes);
                            });
}

void server_connection::on_read(const error_code& error, std::size_t bytes)
{
    is_reading_ = false;
    if (is_closed_)
        return;
    buffer_.commit(bytes);
    if (!call_) {
        // The server closed the connection, or sent bytes that answer no
        // request.
        close();
        return;
    }
    if (bytes > 0 &&
        !net::run_guarded(owner_.read_error, "answer", [this] { parse(); }))
        fail(call_error::malformed);
    if (is_closed_)
        return;
    if (error == asio::error::eof) {
        if (call_)
            on_end_of_stream();
        else
            close();
    } else if (error) {
        if (call_)
            fail(call_error::connection_lost);
        else
            close();
    } else {
        read();
    }
}

void server_connection::parse()
{
    while (call_ && (buffer_.size() > 0 || parser_->is_complete())) {
        const net::parse_result result = parser_->feed(buffer_);
        if (std::holds_alternative<net::message_fault>(result)) {
            fail(call_error::malformed);
            return;
        }
        switch (std::get<net::parse_progress>(result)) {
        case net::parse_progress::head_complete:
            handle_head();
            break;
        case net::parse_progress::needs_more:
            deliver_body();
            return;
        case net::parse_progress::message_complete:
            deliver_body();
            if (call_)
                finish_answer();
            return;
        }
    }
}

void server_connection::handle_head()
{
    const auto& head = parser_->head();
    if (head.result_int() / 100 == 1) {
        if (++interim_answers_ > max_interim_answers)
            fail(call_error::malformed);
        else
            reset_parser();
        return;
    }
    interim_answers_ = 0;
    const auto call = call_;
    is_answer_discarded_ = !call->on_head(head);
}

void server_connection::deliver_body()
{
    const std::string bytes = parser_->take_body();
    if (bytes.empty())
        return;
    const auto call = call_;
    if (!is_answer_discarded_) {
        call->on_body(bytes);
        return;
    }
    discarded_bytes_ += bytes.size();
    if (discarded_bytes_ > max_discarded_bytes)
        fail(call_error::malformed);
}

void server_connection::finish_answer()
{
    if (is_answer_discarded_) {
        if (!parser_->keeps_alive() ||
            ++discarded_answers_ > max_discarded_answers) {
            fail(call_error::malformed);
            return;
        }
        reset_parser();
        parse();
        return;
    }
    const answer_end end = parser_->ends_with_connection()
                               ? answer_end::close
                               : answer_end::framing;
    const bool is_reusable = parser_->keeps_alive() && is_request_written_ &&
                             buffer_.size() == 0 && end == answer_end::framing;
    const auto self = shared_from_this();
    const auto call = std::exchange(call_, nullptr);
    body_.reset();
    is_paused_ = false;
    if (is_reusable)
        become_idle();
    else
        close();
    call->on_done(end);
}

void server_connection::on_end_of_stream()
{
    // A write that meets a reset takes the error off the socket, and the next
    // read reports a regular end. The result of the write tells them apart.
    is_end_of_stream_pending_ = !is_request_written_ && !has_write_failed_;
    if (is_end_of_stream_pending_)
        return;
    if (has_write_failed_) {
        fail(call_error::connection_lost);
        return;
    }
    if (parser_->finish_at_end_of_stream() && !is_answer_discarded_) {
        finish_answer();
        return;
    }
    fail(call_error::connection_lost);
}

void server_connection::become_idle()
{
    timer_.expires_after(idle_timeout_);
    timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
        if (!cancelled && !self->call_)
            self->close();
    });
    owner_.on_idle(*this);
}

std::uint32_t server_connection::earlier_calls() const
{
    return earlier_calls_;
}

bool server_connection::has_carried_other_answers() const
{
    return earlier_calls_ > 0 || discarded_answers_ > 0;
}

void server_connection::set_keep_alive_timeout(
    std::chrono::milliseconds timeout)
{
    idle_timeout_ = safe_idle_timeout(timeout, settings_.idle_timeout_margin);
}

void server_connection::fail(call_error error)
{
    if (is_closed_)
        return;
    const auto self = shared_from_this();
    close();
    if (!call_)
        return;
    std::exchange(call_, nullptr)->on_failed(error);
}

void server_connection::abort()
{
    call_.reset();
    close();
}

void server_connection::pause()
{
    is_paused_ = true;
}

void server_connection::resume()
{
    if (!is_paused_)
        return;
    is_paused_ = false;
    read();
}

void server_connection::close_if_idle()
{
    if (!call_)
        close();
}

void server_connection::close()
{
    if (std::exchange(is_closed_, true))
        return;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    owner_.on_closed(*this);
}

} // namespace oriolefall::forward

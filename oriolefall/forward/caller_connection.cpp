#include "oriolefall/forward/caller_connection.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/forward/head_text.hpp"
#include "oriolefall/net/socket_options.hpp"

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolefall::forward {

namespace {

constexpr std::size_t read_bytes = 16384;
/// Pieces of an answer written in one call.
constexpr std::size_t most_pieces = 16;
/// Time that a caller has to take the end of its last answer.
constexpr std::chrono::milliseconds closing_time{2000};

std::chrono::milliseconds to_chrono(absl::Duration time)
{
    return absl::ToChronoMilliseconds(time);
}

/// HTTP/1.1
constexpr unsigned keep_alive_version = 11;

} // namespace

caller_connection::caller_connection(tcp::socket socket,
                                     const forward_settings& settings,
                                     caller_hooks hooks)
    : socket_(std::move(socket)), settings_(settings), hooks_(std::move(hooks)),
      timer_(socket_.get_executor())
{
}

void caller_connection::start()
{
    net::set_no_delay(socket_);
    net::set_ack_limit(socket_, settings_.caller_ack_limit);
    net::set_keep_alive(socket_);
    limits_ = hooks_.limits();
    start_timer(to_chrono(limits_.idle_timeout));
    read();
}

void caller_connection::read()
{
    if (closed_ || is_reading_)
        return;
    if (state_ == state::open && buffer_.size() >= settings_.read_ahead_bytes)
        return;
    is_reading_ = true;
    socket_.async_read_some(buffer_.prepare(read_bytes),
                            [self = shared_from_this()](const error_code& error,
                                                        std::size_t bytes) {
                                self->is_reading_ = false;
                                self->on_read(error, bytes);
                            });
}

void caller_connection::on_read(const error_code& error, std::size_t bytes)
{
    if (closed_)
        return;
    if (error) {
        lose();
        return;
    }
    if (state_ == state::closing) {
        read();
        return;
    }
    buffer_.commit(bytes);
    parse();
    read();
}

void caller_connection::parse()
{
    while (!closed_ && buffer_.size() > 0 &&
           (state_ == state::idle || state_ == state::reading)) {
        if (state_ == state::idle)
            begin_request();
        error_code error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != http::error::need_more) {
            refuse(error);
            return;
        }
        if (parser_->is_done()) {
            take_request();
            return;
        }
        if (parser_->is_header_done()) {
            send_continue();
            start_timer(to_chrono(limits_.idle_timeout));
        }
        if (error || used == 0)
            return;
    }
}

void caller_connection::begin_request()
{
    limits_ = hooks_.limits();
    state_ = state::reading;
    received_ = core::monotonic_now();
    told_continue_ = false;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser_->body_limit(limits_.max_body_bytes);
    start_timer(to_chrono(limits_.header_timeout));
}

void caller_connection::send_continue()
{
    const auto expected = parser_->get()[http::field::expect];
    if (told_continue_ || expected.empty())
        return;
    told_continue_ = true;
    write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::take_request()
{
    timer_.cancel();
    state_ = state::open;
    keeps_ = parser_->keep_alive();
    chunks_ = parser_->get().version() >= keep_alive_version;
    caller_request request = parser_->release();
    parser_.reset();
    hooks_.request(*this, std::move(request), received_);
}

void caller_connection::refuse(const error_code& error)
{
    http::status status = http::status::bad_request;
    if (error == http::error::header_limit)
        status = http::status::request_header_fields_too_large;
    else if (error == http::error::body_limit)
        status = http::status::payload_too_large;
    state_ = state::open;
    write(fault_text(status));
    finish(false);
}

void caller_connection::write(std::string bytes)
{
    if (closed_ || bytes.empty())
        return;
    waiting_bytes_ += bytes.size();
    waiting_.push_back(std::move(bytes));
    write_some();
}

void caller_connection::write_some()
{
    if (writing_ > 0 || waiting_.empty() || closed_)
        return;
    writing_ = std::min(waiting_.size(), most_pieces);
    std::vector<asio::const_buffer> pieces;
    pieces.reserve(writing_);
    std::transform(waiting_.begin(),
                   waiting_.begin() + static_cast<std::ptrdiff_t>(writing_),
                   std::back_inserter(pieces), [](const std::string& piece) {
                       return asio::buffer(piece);
                   });
    asio::async_write(
        socket_, pieces,
        [self = shared_from_this()](const error_code& error, std::size_t) {
            self->on_written(error);
        });
}

void caller_connection::on_written(const error_code& error)
{
    if (closed_)
        return;
    if (error) {
        lose();
        return;
    }
    for (; writing_ > 0; --writing_) {
        waiting_bytes_ -= waiting_.front().size();
        waiting_.pop_front();
    }
    if (!waiting_.empty()) {
        write_some();
        return;
    }
    if (state_ == state::open)
        hooks_.drained();
    else if (state_ == state::closing)
        close_gently();
}

void caller_connection::finish(bool keep)
{
    if (closed_)
        return;
    if (!keep || closes_after()) {
        state_ = state::closing;
        start_timer(closing_time);
        if (waiting_.empty())
            close_gently();
        return;
    }
    state_ = state::idle;
    start_timer(to_chrono(limits_.idle_timeout));
    // The next request may have been read already.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->parse();
        self->read();
    });
}

void caller_connection::abort()
{
    if (closed_)
        return;
    // A reset can't be taken for the end of an answer.
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void caller_connection::leave()
{
    leaving_ = true;
    if (state_ == state::idle && buffer_.size() == 0) {
        state_ = state::closing;
        start_timer(closing_time);
        close_gently();
    }
}

std::size_t caller_connection::waiting_bytes() const
{
    return waiting_bytes_;
}

bool caller_connection::closes_after() const
{
    return leaving_ || !keeps_;
}

bool caller_connection::speaks_chunks() const
{
    return chunks_;
}

void caller_connection::start_timer(std::chrono::milliseconds time)
{
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](const error_code& stopped) {
        if (!stopped)
            self->on_time_over();
    });
}

void caller_connection::on_time_over()
{
    if (closed_ || timer_.expiry() > std::chrono::steady_clock::now())
        return;
    if (state_ == state::reading && !parser_->is_header_done()) {
        state_ = state::open;
        write(fault_text(http::status::request_timeout));
        finish(false);
        return;
    }
    if (state_ != state::open)
        close();
}

void caller_connection::lose()
{
    const bool was_open = state_ == state::open;
    close();
    if (was_open)
        hooks_.left();
}

void caller_connection::close()
{
    if (std::exchange(closed_, true))
        return;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    hooks_.closed(*this);
}

void caller_connection::close_gently()
{
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace oriolefall::forward

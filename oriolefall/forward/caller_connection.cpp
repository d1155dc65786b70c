#include "oriolefall/forward/caller_connection.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/forward/http_text.hpp"
#include "oriolefall/net/socket_options.hpp"

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace oriolefall::forward {

namespace {

constexpr std::size_t read_bytes = 16384;
/// Maximum number of queued pieces that one write combines.
constexpr std::size_t max_pieces_per_write = 16;
constexpr std::size_t max_bytes_per_write = std::size_t{64} * 1024;
/// Time in which a caller must close its connection after its last answer.
constexpr std::chrono::milliseconds closing_timeout{2000};
/// In this time a caller must take so many bytes of an answer that is ready for
/// it.
constexpr std::chrono::milliseconds slow_caller_timeout{8000};
constexpr std::size_t min_bytes_taken = 4096;

std::chrono::milliseconds to_chrono(absl::Duration duration)
{
    return absl::ToChronoMilliseconds(duration);
}

http::status status_of(net::message_fault fault)
{
    switch (fault) {
    case net::message_fault::head_too_large:
        return http::status::request_header_fields_too_large;
    case net::message_fault::body_too_large:
        return http::status::payload_too_large;
    case net::message_fault::unsupported_coding:
        return http::status::not_implemented;
    default:
        return http::status::bad_request;
    }
}

/// Version number of HTTP/1.1 in Boost.Beast.
constexpr unsigned http_1_1 = 11;

} // namespace

caller_connection::caller_connection(tcp::socket socket,
                                     const forward_settings& settings,
                                     byte_budget& body_budget,
                                     caller_hooks hooks)
    : socket_(std::move(socket)), settings_(settings),
      body_budget_(body_budget), hooks_(std::move(hooks)),
      timer_(socket_.get_executor())
{
}

void caller_connection::start()
{
    net::set_no_delay(socket_);
    net::set_ack_timeout(socket_, settings_.caller_ack_timeout);
    net::set_keep_alive(socket_);
    limits_ = hooks_.limits();
    start_timer(to_chrono(limits_.idle_timeout));
    read();
}

void caller_connection::read()
{
    if (is_closed_ || is_reading_)
        return;
    if (state_ == state::open &&
        buffer_.size() >= settings_.max_read_ahead_bytes)
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
    if (is_closed_)
        return;
    if (error) {
        on_connection_lost();
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
    if (!net::run_guarded(hooks_.read_error, "request",
                          [this] { parse_request(); }))
        on_connection_lost();
}

void caller_connection::parse_request()
{
    while (!is_closed_ && buffer_.size() > 0 &&
           (state_ == state::idle || state_ == state::reading)) {
        if (state_ == state::idle)
            begin_request();
        const net::parse_result result = parser_->feed(buffer_);
        if (const auto* fault = std::get_if<net::message_fault>(&result)) {
            reject_request(*fault);
            return;
        }
        if (!body_share_.grow_to(parser_->body().size())) {
            refuse_request();
            return;
        }
        if (parser_->is_complete()) {
            deliver_request();
            return;
        }
        if (parser_->is_head_complete()) {
            send_continue();
            start_timer(to_chrono(limits_.idle_timeout));
        }
        if (std::get<net::parse_progress>(result) ==
            net::parse_progress::needs_more)
            return;
    }
}

void caller_connection::begin_request()
{
    limits_ = hooks_.limits();
    state_ = state::reading;
    received_at_ = core::monotonic_now();
    has_sent_continue_ = false;
    parser_.emplace(
        net::message_limits{limits_.max_header_bytes, limits_.max_body_bytes});
    body_share_ = byte_share(body_budget_);
    start_timer(to_chrono(limits_.header_timeout));
}

void caller_connection::send_continue()
{
    const auto expected = parser_->head()[http::field::expect];
    if (has_sent_continue_ || expected.empty())
        return;
    has_sent_continue_ = true;
    write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::deliver_request()
{
    timer_.cancel();
    state_ = state::open;
    is_keep_alive_ = parser_->keeps_alive();
    supports_chunked_ = parser_->head().version() >= http_1_1;
    caller_request request{parser_->release(), std::move(body_share_),
                           received_at_};
    parser_.reset();
    hooks_.on_request(*this, std::move(request));
}

void caller_connection::reject_request(net::message_fault fault)
{
    reject(format_invalid_request(status_of(fault)));
}

void caller_connection::refuse_request()
{
    const dispatch::refuse refusal{
        {}, dispatch::refusal::overloaded, true, settings_.retry_after};
    reject(format_refusal(refusal, true));
}

void caller_connection::reject(std::string answer)
{
    state_ = state::open;
    parser_.reset();
    body_share_ = {};
    write(std::move(answer));
    finish(false);
}

void caller_connection::write(std::string bytes)
{
    if (is_closed_ || bytes.empty())
        return;
    unsent_bytes_ += bytes.size();
    write_queue_.push_back(std::move(bytes));
    write_next();
}

void caller_connection::write_next()
{
    if (pieces_in_write_ > 0 || write_queue_.empty() || is_closed_)
        return;
    pieces_in_write_ = std::min(write_queue_.size(), max_pieces_per_write);
    std::vector<asio::const_buffer> pieces;
    pieces.reserve(pieces_in_write_);
    std::transform(
        write_queue_.begin(),
        write_queue_.begin() + static_cast<std::ptrdiff_t>(pieces_in_write_),
        std::back_inserter(pieces),
        [](const std::string& piece) { return asio::buffer(piece); });
    asio::async_write(
        socket_, pieces,
        [self = shared_from_this(), written = std::size_t{0}](
            const error_code& error, std::size_t total) mutable {
            self->bytes_taken_ += total - std::exchange(written, total);
            return error ? 0 : max_bytes_per_write;
        },
        [self = shared_from_this()](const error_code& error, std::size_t) {
            self->on_written(error);
        });
}

void caller_connection::on_written(const error_code& error)
{
    if (is_closed_)
        return;
    if (error) {
        on_connection_lost();
        return;
    }
    for (; pieces_in_write_ > 0; --pieces_in_write_) {
        unsent_bytes_ -= write_queue_.front().size();
        write_queue_.pop_front();
    }
    if (!write_queue_.empty()) {
        write_next();
        return;
    }
    if (state_ == state::open)
        hooks_.on_drained();
    else if (state_ == state::closing)
        shut_down_send();
    else if (state_ == state::idle && std::exchange(is_slow_, false))
        start_timer(to_chrono(limits_.idle_timeout));
}

void caller_connection::finish(bool keep_alive)
{
    if (is_closed_)
        return;
    if (!keep_alive || closes_after_answer()) {
        close_after_answer();
        return;
    }
    state_ = state::idle;
    start_timer(to_chrono(limits_.idle_timeout));
    // The next request may already be in the buffer.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->parse();
        self->read();
    });
}

void caller_connection::abort()
{
    if (is_closed_)
        return;
    // The caller can't mistake a reset for the end of an answer.
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void caller_connection::leave()
{
    is_leaving_ = true;
    if (state_ == state::idle && buffer_.size() == 0)
        close_after_answer();
}

void caller_connection::refuse_requests()
{
    leave();
    if (state_ == state::reading)
        refuse_request();
}

void caller_connection::stop()
{
    // The kernel still sends what is left of an answer that was written whole.
    if (state_ != state::open && write_queue_.empty())
        close();
    else
        abort();
}

void caller_connection::close_after_answer()
{
    state_ = state::closing;
    if (write_queue_.empty())
        shut_down_send();
    else
        start_timer(slow_caller_timeout);
}

std::size_t caller_connection::unsent_bytes() const
{
    return unsent_bytes_;
}

bool caller_connection::closes_after_answer() const
{
    return is_leaving_ || !is_keep_alive_;
}

bool caller_connection::supports_chunked() const
{
    return supports_chunked_;
}

void caller_connection::start_timer(std::chrono::milliseconds timeout)
{
    bytes_taken_ = 0;
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
        if (!cancelled)
            self->on_timeout();
    });
}

void caller_connection::on_timeout()
{
    if (is_closed_ || timer_.expiry() > std::chrono::steady_clock::now())
        return;
    if (state_ == state::reading && !parser_->is_head_complete()) {
        reject(format_invalid_request(http::status::request_timeout));
        return;
    }
    if (state_ == state::open)
        return;
    if (takes_answer()) {
        is_slow_ = true;
        start_timer(slow_caller_timeout);
        return;
    }
    stop();
}

bool caller_connection::takes_answer() const
{
    return !write_queue_.empty() && bytes_taken_ >= min_bytes_taken;
}

void caller_connection::on_connection_lost()
{
    const bool had_open_request = state_ == state::open;
    close();
    if (had_open_request)
        hooks_.on_disconnected();
}

void caller_connection::close()
{
    if (std::exchange(is_closed_, true))
        return;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    hooks_.on_closed(*this);
}

void caller_connection::shut_down_send()
{
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    start_timer(closing_timeout);
}

} // namespace oriolefall::forward

#include "oriolefall/forward/server_connection.hpp"

#include "oriolefall/net/socket_options.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace oriolefall::forward {

namespace {

constexpr std::size_t read_bytes = 16384;
constexpr std::uint32_t longest_head = 65536;
/// Answers to other requests that are passed over on one connection.
constexpr unsigned most_dropped_answers = 2;

} // namespace

std::chrono::milliseconds kept_time(std::chrono::milliseconds told,
                                    std::chrono::milliseconds margin)
{
    return std::max(told - margin, told / 2);
}

server_connection::server_connection(asio::io_context& context,
                                     const forward_settings& settings,
                                     owner_hooks owner)
    : context_(context), settings_(settings), owner_(std::move(owner)),
      socket_(context), timer_(context), idle_limit_(settings.server_idle_limit)
{
}

void server_connection::start(const core::endpoint& to,
                              std::shared_ptr<const std::string> body,
                              call_hooks hooks)
{
    call_ = std::make_shared<const call_hooks>(std::move(hooks));
    body_ = std::move(body);
    begin_answer();
    connect(to);
}

void server_connection::start_next(std::shared_ptr<const std::string> body,
                                   call_hooks hooks)
{
    timer_.cancel();
    call_ = std::make_shared<const call_hooks>(std::move(hooks));
    body_ = std::move(body);
    dropped_answers_ = 0;
    begin_answer();
    send();
}

void server_connection::connect(const core::endpoint& to)
{
    error_code error;
    const auto address = asio::ip::make_address(to.address, error);
    if (error) {
        asio::post(context_, [self = shared_from_this()] {
            self->fail(call_fault::not_connected);
        });
        return;
    }
    timer_.expires_after(settings_.connect_limit);
    timer_.async_wait([self = shared_from_this()](const error_code& stopped) {
        if (!stopped && !self->is_connected_)
            self->fail(call_fault::not_connected);
    });
    socket_.async_connect({address, to.port}, [self = shared_from_this()](
                                                  const error_code& failed) {
        self->on_connected(failed);
    });
}

void server_connection::on_connected(const error_code& error)
{
    if (closed_)
        return;
    if (error) {
        fail(call_fault::not_connected);
        return;
    }
    is_connected_ = true;
    timer_.cancel();
    set_options();
    send();
    read();
}

void server_connection::set_options()
{
    net::set_no_delay(socket_);
    net::set_ack_limit(socket_, settings_.server_ack_limit);
    net::set_keep_alive(socket_);
}

void server_connection::send()
{
    is_written_ = false;
    head_text_ = call_->write_head();
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(head_text_),
                                                  asio::buffer(*body_)};
    asio::async_write(socket_, bytes,
                      [self = shared_from_this(),
                       body = body_](const error_code& error, std::size_t) {
                          if (self->closed_)
                              return;
                          // What the server said before it closed is read all
                          // the same.
                          if (!error)
                              self->is_written_ = true;
                      });
}

void server_connection::begin_answer()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(longest_head);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    head_taken_ = false;
    drops_answer_ = false;
}

void server_connection::read()
{
    if (closed_ || is_reading_ || is_paused_)
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
    if (closed_)
        return;
    buffer_.commit(bytes);
    if (!call_) {
        // Closed by the server, or bytes that belong to no request.
        close();
        return;
    }
    if (bytes > 0)
        parse();
    if (closed_)
        return;
    if (error == asio::error::eof) {
        if (call_)
            on_end_of_stream();
        else
            close();
    } else if (error) {
        if (call_)
            fail(call_fault::lost);
        else
            close();
    } else {
        read();
    }
}

void server_connection::parse()
{
    while (call_ && buffer_.size() > 0) {
        error_code error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != http::error::need_more) {
            fail(call_fault::malformed);
            return;
        }
        if (parser_->is_header_done() && !head_taken_ && !take_head())
            continue;
        if (closed_ || !call_)
            return;
        if (head_taken_)
            take_body();
        if (closed_ || !call_)
            return;
        if (parser_->is_done()) {
            finish();
            return;
        }
        if (error || used == 0)
            return;
    }
}

bool server_connection::take_head()
{
    const auto& head = parser_->get();
    if (head.result_int() / 100 == 1) {
        begin_answer();
        return false;
    }
    head_taken_ = true;
    const auto call = call_;
    drops_answer_ = !call->head(head.base());
    return true;
}

void server_connection::take_body()
{
    std::string& body = parser_->get().body();
    if (body.empty())
        return;
    std::string bytes;
    bytes.swap(body);
    const auto call = call_;
    if (!drops_answer_)
        call->body(bytes);
}

void server_connection::finish()
{
    if (drops_answer_) {
        if (!parser_->keep_alive() ||
            ++dropped_answers_ > most_dropped_answers) {
            fail(call_fault::malformed);
            return;
        }
        begin_answer();
        parse();
        return;
    }
    const bool keeps = parser_->keep_alive() && is_written_ &&
                       buffer_.size() == 0 && !parser_->need_eof();
    const auto self = shared_from_this();
    const auto call = std::exchange(call_, nullptr);
    body_.reset();
    is_paused_ = false;
    if (keeps)
        idle();
    else
        close();
    call->done();
}

void server_connection::on_end_of_stream()
{
    error_code error;
    if (parser_->is_header_done() && parser_->need_eof())
        parser_->put_eof(error);
    if (!error && parser_->is_done() && !drops_answer_) {
        finish();
        return;
    }
    fail(call_fault::lost);
}

void server_connection::idle()
{
    timer_.expires_after(idle_limit_);
    timer_.async_wait([self = shared_from_this()](const error_code& stopped) {
        if (!stopped && !self->call_)
            self->close();
    });
    owner_.idles(*this);
}

void server_connection::set_idle_limit(std::chrono::milliseconds limit)
{
    idle_limit_ = kept_time(limit, settings_.idle_margin);
}

void server_connection::fail(call_fault fault)
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    close();
    if (!call_)
        return;
    std::exchange(call_, nullptr)->failed(fault);
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

void server_connection::close_idle()
{
    if (!call_)
        close();
}

void server_connection::close()
{
    if (std::exchange(closed_, true))
        return;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    owner_.ended(*this);
}

} // namespace oriolefall::forward

#include "oriolefall/follow/store_line.hpp"

#include "oriolefall/net/socket_options.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::follow {

namespace {

/// Lists come in pages of about 1 MB.
constexpr std::uint64_t longest_answer = std::uint64_t{16} * 1024 * 1024;
constexpr std::chrono::milliseconds ack_limit{1500};
constexpr std::chrono::milliseconds connect_limit{700};
/// Between two pieces of one answer.
constexpr std::chrono::milliseconds silence_limit{1200};
constexpr unsigned http_1_1 = 11;

} // namespace

store_line::store_line(asio::io_context& context, core::endpoint store)
    : context_(context), store_(std::move(store))
{
}

void store_line::call(const store_request& request, result_hook done)
{
    assert(!done_);
    done_ = std::move(done);
    request_ = {request.method, request.target, http_1_1};
    request_.set(http::field::host,
                 store_.address + ":" + std::to_string(store_.port));
    if (!request.body.empty()) {
        request_.set(http::field::content_type, "application/json");
        request_.body() = request.body;
    }
    request_.prepare_payload();
    const bool is_kept = stream_.has_value();
    if (!is_kept)
        stream_.emplace(context_);
    limit_ = request.limit;
    if (is_kept) {
        send();
        return;
    }
    // A watch may take long; finding out that nobody is there may not.
    stream_->expires_after(std::min(connect_limit, limit_));
    buffer_.clear();
    error_code error;
    const auto address = asio::ip::make_address(store_.address, error);
    if (error) {
        asio::post(context_,
                   [self = shared_from_this(), error] { self->finish(error); });
        return;
    }
    stream_->async_connect(
        tcp::endpoint(address, store_.port),
        [self = shared_from_this()](const error_code& failed) {
            if (failed) {
                self->finish(failed);
                return;
            }
            net::set_no_delay(self->stream_->socket());
            net::set_ack_timeout(self->stream_->socket(), ack_limit);
            net::set_keep_alive(self->stream_->socket());
            self->send();
        });
}

void store_line::send()
{
    stream_->expires_after(limit_);
    http::async_write(
        *stream_, request_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
            if (error)
                self->finish(error);
            else
                self->receive();
        });
}

void store_line::receive()
{
    answer_.emplace();
    answer_->eager(true);
    answer_->body_limit(longest_answer);
    receive_some();
}

void store_line::receive_some()
{
    http::async_read_some(
        *stream_, buffer_, *answer_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
            if (error || self->answer_->is_done()) {
                self->finish(error);
                return;
            }
            // The store may wait before it begins; a long answer may take its
            // time, as long as it goes on.
            self->stream_->expires_after(self->piece_limit());
            self->receive_some();
        });
}

std::chrono::milliseconds store_line::piece_limit() const
{
    return std::min(limit_, silence_limit);
}

void store_line::finish(const error_code& error)
{
    const auto done = std::exchange(done_, nullptr);
    assert(done);
    if (error) {
        stream_.reset();
        done(store_silent{error.message()});
        return;
    }
    auto answer = answer_->release();
    if (!answer.keep_alive())
        stream_.reset();
    else
        stream_->expires_never();
    done(store_answer{answer.result_int(), std::move(answer.body())});
}

} // namespace oriolefall::follow

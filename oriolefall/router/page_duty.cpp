#include "oriolefall/router/page_duty.hpp"

#include "oriolefall/net/acceptor.hpp"
#include "oriolefall/net/message_parser.hpp"
#include "oriolefall/net/socket_options.hpp"

#include <utility>
#include <variant>

namespace oriolefall::router {

namespace {

constexpr std::chrono::seconds idle_timeout{20};
/// Maximum size of the head of a request, and of its body.
constexpr std::size_t max_request_part_bytes = 8192;
constexpr int listen_backlog = 256;

} // namespace

/// HTTP connection that serves one request at a time.
class page_duty::session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, const page_hook& make_page,
            const net::read_error_hook& read_error)
        : stream_(std::move(socket)), make_page_(make_page),
          read_error_(read_error)
    {
        net::set_no_delay(stream_.socket());
    }

    void read()
    {
        parser_.emplace(net::message_limits{max_request_part_bytes,
                                            max_request_part_bytes});
        stream_.expires_after(idle_timeout);
        parse();
    }

private:
    /// A connection that sends no request, or none that can be answered, ends
    /// with its session.
    void parse()
    {
        const net::parse_result result = parser_->feed_past_head(buffer_);
        if (std::holds_alternative<net::message_fault>(result))
            return;
        if (!parser_->is_complete())
            read_some();
        else if (!net::run_guarded(read_error_, "page",
                                   [this] { write_answer(); }))
            stream_.close();
    }

    void read_some()
    {
        stream_.async_read_some(
            buffer_.prepare(max_request_part_bytes),
            [self = shared_from_this()](const error_code& error,
                                        std::size_t bytes) {
                if (error)
                    return;
                self->buffer_.commit(bytes);
                self->parse();
            });
    }

    void write_answer()
    {
        const auto& request = parser_->head();
        const bool keep_alive = parser_->keeps_alive();
        const auto target = request.target();
        page content = make_page_(std::string(target.data(), target.size()));
        answer_ = {static_cast<http::status>(content.status),
                   request.version()};
        answer_.set(http::field::content_type, content.content_type);
        answer_.keep_alive(keep_alive);
        answer_.body() = std::move(content.body);
        answer_.prepare_payload();
        http::async_write(stream_, answer_,
                          [self = shared_from_this(),
                           keep_alive](const error_code& error, std::size_t) {
                              if (error)
                                  return;
                              if (keep_alive) {
                                  self->read();
                                  return;
                              }
                              error_code ignored;
                              self->stream_.socket().shutdown(
                                  tcp::socket::shutdown_send, ignored);
                          });
    }

    boost::beast::tcp_stream stream_;
    const page_hook& make_page_;
    const net::read_error_hook& read_error_;
    boost::beast::flat_buffer buffer_;
    std::optional<net::request_parser> parser_;
    http::response<http::string_body> answer_;
};

page_duty::page_duty(page_hook make_page, net::read_error_hook read_error)
    : make_page_(std::move(make_page)), read_error_(std::move(read_error))
{
}

page_duty::~page_duty()
{
    stop();
}

error_code page_duty::listen(const core::endpoint& endpoint)
{
    auto acceptor = std::make_unique<tcp::acceptor>(context_);
    if (const error_code error =
            net::open_acceptor(*acceptor, endpoint, listen_backlog))
        return error;
    net::accept_connections(*acceptor, [this](tcp::socket socket) {
        std::make_shared<session>(std::move(socket), make_page_, read_error_)
            ->read();
    });
    acceptors_.push_back(std::move(acceptor));
    return {};
}

void page_duty::start()
{
    thread_.emplace("pages", [this] { context_.run(); });
}

void page_duty::stop()
{
    context_.stop();
    thread_.reset();
}

} // namespace oriolefall::router

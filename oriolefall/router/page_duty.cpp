#include "oriolefall/router/page_duty.hpp"

#include "oriolefall/net/acceptor.hpp"
#include "oriolefall/net/socket_options.hpp"

#include <utility>

namespace oriolefall::router {

namespace {

constexpr std::chrono::seconds idle_limit{20};
constexpr std::uint32_t longest_head = 8192;
constexpr int accept_queue = 256;

} // namespace

/// One connection that asks for pages, one after the other.
class page_duty::session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, const page_hook& pages)
        : stream_(std::move(socket)), pages_(pages)
    {
        net::set_no_delay(stream_.socket());
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(longest_head);
        parser_->body_limit(longest_head);
        stream_.expires_after(idle_limit);
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](const error_code& error, std::size_t) {
                if (!error)
                    self->answer();
            });
    }

private:
    void answer()
    {
        const auto& request = parser_->get();
        const bool keeps = request.keep_alive();
        const auto target = request.target();
        page made = pages_(std::string(target.data(), target.size()));
        answer_ = {static_cast<http::status>(made.status), request.version()};
        answer_.set(http::field::content_type, made.content_type);
        answer_.keep_alive(keeps);
        answer_.body() = std::move(made.body);
        answer_.prepare_payload();
        http::async_write(stream_, answer_,
                          [self = shared_from_this(),
                           keeps](const error_code& error, std::size_t) {
                              if (error)
                                  return;
                              if (keeps) {
                                  self->read();
                                  return;
                              }
                              error_code ignored;
                              self->stream_.socket().shutdown(
                                  tcp::socket::shutdown_send, ignored);
                          });
    }

    boost::beast::tcp_stream stream_;
    const page_hook& pages_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> answer_;
};

page_duty::page_duty(page_hook pages) : pages_(std::move(pages)) {}

page_duty::~page_duty()
{
    stop();
}

bool page_duty::listen(const core::endpoint& at)
{
    auto made = std::make_unique<tcp::acceptor>(context_);
    if (!net::open_acceptor(*made, at, accept_queue))
        return false;
    net::accept_connections(*made, [this](tcp::socket socket) {
        std::make_shared<session>(std::move(socket), pages_)->read();
    });
    acceptors_.push_back(std::move(made));
    return true;
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

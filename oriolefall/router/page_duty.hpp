#ifndef ORIOLEFALL_ROUTER_PAGE_DUTY_HPP
#define ORIOLEFALL_ROUTER_PAGE_DUTY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/net/beast.hpp"
#include "oriolefall/net/guarded.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::router {

/// Status, content type and body of an HTTP answer.
struct page
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    auto operator<=>(const page&) const = default;
};

/// Makes the page for a request target. Called on the page thread; must not
/// block.
using page_hook = std::function<page(const std::string& target)>;

/// HTTP server for information about this instance: its readiness, the
/// addresses that callers should connect to, and its metrics. Runs on a thread
/// of its own.
class page_duty
{
public:
    /// `read_error`: making a page threw; its connection ends.
    page_duty(page_hook make_page, net::read_error_hook read_error);
    ~page_duty();
    page_duty(const page_duty&) = delete;
    page_duty& operator=(const page_duty&) = delete;

    /// Listens on an additional address; may be called again after an error.
    /// Call before `start`.
    [[nodiscard]] error_code listen(const core::endpoint& endpoint);
    void start();
    void stop();

private:
    class session;

    page_hook make_page_;
    net::read_error_hook read_error_;
    asio::io_context context_{1};
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::router

#endif

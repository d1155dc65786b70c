#ifndef ORIOLEFALL_ROUTER_PAGE_DUTY_HPP
#define ORIOLEFALL_ROUTER_PAGE_DUTY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/net/beast.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::router {

/// A small answer made at once.
struct page
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    auto operator<=>(const page&) const = default;
};

/// Makes the page for the target of a GET. Called on the page thread; must
/// not block.
using page_hook = std::function<page(const std::string& target)>;

/// The duty that answers short questions about this instance: whether it is
/// ready, where callers are to connect, its metrics.
class page_duty
{
public:
    explicit page_duty(page_hook pages);
    ~page_duty();
    page_duty(const page_duty&) = delete;
    page_duty& operator=(const page_duty&) = delete;

    /// Listens at one more address. False when it can't be had. Before
    /// `start`.
    [[nodiscard]] bool listen(const core::endpoint& at);
    void start();
    void stop();

private:
    class session;

    page_hook pages_;
    asio::io_context context_{1};
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::router

#endif

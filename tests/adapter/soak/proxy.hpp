#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_PROXY_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_PROXY_HPP

#include "tests/adapter/soak/coroutine.hpp"

#include <memory>
#include <set>

namespace oriolefall::soak {

/// What a proxy does to the connections through it.
enum class link_fault : unsigned char
{
    none,
    /// New bytes are late.
    delayed,
    /// All connections that are open now are reset; new ones work.
    reset,
    /// Connections that are open now pass nothing more, for good; new ones
    /// work.
    silenced,
    /// Nothing passes from the side that connected to the other.
    cut_forth,
    /// Nothing passes back.
    cut_back,
    /// Nothing passes, and new connections hang.
    cut
};

/// Passes connections on over loopback, with faults. One thread.
class proxy : public std::enable_shared_from_this<proxy>
{
public:
    proxy(asio::io_context& context, const tcp::endpoint& to);

    void start();
    [[nodiscard]] std::uint16_t port() const;
    /// `none` ends the faults that last.
    void set_fault(link_fault fault);
    /// Where new connections go.
    void lead_to(const tcp::endpoint& to);

private:
    struct link
    {
        explicit link(asio::io_context& context) : near(context), far(context)
        {
        }
        tcp::socket near;
        tcp::socket far;
        bool is_silent = false;
        /// Of its two ways.
        unsigned ended = 0;
    };
    using link_ptr = std::shared_ptr<link>;

    task<void> accept();
    task<void> open(link_ptr made);
    task<void> pass(link_ptr held, bool forth);
    [[nodiscard]] bool holds(const link& held, bool forth) const;

    asio::io_context& context_;
    tcp::endpoint to_;
    tcp::acceptor acceptor_;
    std::set<link_ptr> links_;
    link_fault fault_ = link_fault::none;
};

} // namespace oriolefall::soak

#endif

#ifndef ORIOLEFALL_ROUTER_ROUTER_HPP
#define ORIOLEFALL_ROUTER_ROUTER_HPP

#include "oriolefall/core/latest_value.hpp"
#include "oriolefall/core/recent_peak.hpp"
#include "oriolefall/forward/forwarder.hpp"
#include "oriolefall/membership/absent_instance_detector.hpp"
#include "oriolefall/observe/event_log.hpp"
#include "oriolefall/router/decide_duty.hpp"
#include "oriolefall/router/page_duty.hpp"
#include "oriolefall/router/request_log.hpp"
#include "oriolefall/router/router_metrics.hpp"
#include "oriolefall/router/router_settings.hpp"
#include "oriolefall/router/server_reader.hpp"

#include <atomic>
#include <memory>
#include <optional>

namespace oriolefall::router {

/// One instance of the router: its duties and the rings between them.
class router
{
public:
    router(router_settings settings, router_hooks hooks);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// False when an address can't be listened at.
    [[nodiscard]] bool start();
    /// No longer named to callers; goes on answering.
    void leave();
    /// Takes no request after the open ones; with `closes_listener` no new
    /// connections either.
    void stop_taking(bool closes_listener);
    [[nodiscard]] bool has_open_requests() const;
    void stop();
    void set_repeats(const dispatch::retry_budget_settings& repeats);
    observe::event_log& log();

private:
    [[nodiscard]] follow::store_duty_hooks store_hooks();
    [[nodiscard]] peer::control_hooks control_hooks();
    void on_settings(const follow::collection_view& view);
    void on_servers(const follow::collection_view& view);
    void on_instances(const std::vector<follow::stored_object>& objects);
    /// Removes what instances that died for good left in the store.
    void remove_absent(const std::vector<membership::member>& listed);
    void on_members(const peer::members_ptr& members);
    void tell_load(const dispatch::load_report& report);
    /// Joins the other instances once requests can be answered.
    void join_when_ready();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] page make_page(const std::string& target);
    [[nodiscard]] std::vector<core::endpoint>
    addresses_for(const core::location& caller) const;
    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] membership::member self() const;
    /// Logs which instances are new or gone.
    void log_members(const std::vector<membership::member>& before,
                     const std::vector<membership::member>& now);

    router_settings settings_;
    router_hooks hooks_;
    observe::event_log log_;
    /// Used by the deciding duty alone.
    request_log requests_;
    router_metrics metrics_;
    core::latest_value<routing::caller_limits> limits_;
    core::latest_value<std::vector<membership::member>> members_;
    std::shared_ptr<const routing::route_table> table_;
    std::atomic<bool> has_routes_ = false;
    std::atomic<bool> has_servers_ = false;
    std::atomic<bool> leaving_ = false;
    std::atomic<bool> joined_ = false;
    /// Instances that can't be heard may still spend their share of the budget:
    /// they count for longer than regions lose each other.
    core::recent_peak most_instances_{absl::Minutes(30)};
    /// Used by the store duty alone.
    membership::absent_instance_detector absent_;
    server_reader servers_;
    std::unique_ptr<decide_duty> decide_;
    std::unique_ptr<forward::forwarder> forward_;
    std::unique_ptr<page_duty> pages_;
    std::unique_ptr<peer::control_duty> control_;
    std::unique_ptr<follow::store_duty> store_;
    std::optional<core::duty_thread> forward_thread_;
};

} // namespace oriolefall::router

#endif

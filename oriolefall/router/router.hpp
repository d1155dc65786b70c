#ifndef ORIOLEFALL_ROUTER_ROUTER_HPP
#define ORIOLEFALL_ROUTER_ROUTER_HPP

#include "oriolefall/core/latest_value.hpp"
#include "oriolefall/core/recent_peak.hpp"
#include "oriolefall/forward/forwarder.hpp"
#include "oriolefall/membership/absent_instance_detector.hpp"
#include "oriolefall/net/guarded.hpp"
#include "oriolefall/observe/event_log.hpp"
#include "oriolefall/router/decide_duty.hpp"
#include "oriolefall/router/fleet_sizing.hpp"
#include "oriolefall/router/page_duty.hpp"
#include "oriolefall/router/request_log.hpp"
#include "oriolefall/router/router_metrics.hpp"
#include "oriolefall/router/router_settings.hpp"
#include "oriolefall/router/server_reader.hpp"
#include "oriolefall/singleton/singleton_duty.hpp"
#include "oriolefall/usage/usage_exchange.hpp"
#include "oriolefall/usage/usage_reporter.hpp"

#include <atomic>
#include <chrono>
#include <compare>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriolefall::router {

/// An address at which an instance can't listen.
struct listen_failure
{
    core::endpoint address;
    /// For logs and messages.
    std::string cause;
    std::strong_ordering operator<=>(const listen_failure&) const = default;
};

/// One instance of the router: owns its duties and connects them.
class router
{
public:
    router(router_settings settings, router_hooks hooks);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Starts the duties. An address that is in use, as by the process before
    /// this one, which may still be draining, is waited for. Fails when an
    /// address can't be listened at.
    [[nodiscard]] std::optional<listen_failure> start();
    /// Removes this instance from the addresses given to callers; requests are
    /// still answered.
    void leave();
    /// Accepts no new requests; with `closes_listener` no new connections
    /// either. Open requests are finished.
    void stop_accepting(bool closes_listener);
    /// True while a caller sends a request, waits for its answer or takes it.
    [[nodiscard]] bool has_open_connections() const;
    /// Ends the requests that are still open: their time is over.
    void give_up_requests();
    void stop();
    void set_retry_budget(const dispatch::retry_budget_settings& retry_budget);
    observe::event_log& log();

private:
    using listen_call = std::function<error_code()>;
    /// Calls `listen` until the address is free or `give_up_at` has come.
    [[nodiscard]] std::optional<listen_failure>
    listen_when_free(const core::endpoint& address, const listen_call& listen,
                     std::chrono::steady_clock::time_point give_up_at);
    /// Logs and counts what a reader of foreign bytes threw.
    [[nodiscard]] net::read_error_hook read_error_hook();
    /// The same hooks, but that parse functions which throw have no value.
    [[nodiscard]] router_hooks guarded(router_hooks hooks);
    [[nodiscard]] follow::store_duty_hooks store_hooks();
    [[nodiscard]] peer::control_hooks control_hooks();
    void on_settings(const follow::collection_view& view);
    /// Logs that the store has other settings than those in force.
    void log_older_settings(std::uint64_t version);
    void on_servers(const follow::collection_view& view);
    void on_instances(const std::vector<follow::stored_object>& objects);
    /// Removes the store objects of instances that have failed permanently.
    void remove_absent_instances(const std::vector<membership::member>& listed);
    void on_members(const peer::members_ptr& members);
    /// Makes the duty of the planners if the settings ask for it.
    void make_singleton_duty();
    /// Runs `input` on the thread of the duties if services are sized.
    void post_sizing_input(std::function<void(fleet_sizing&)> input);
    /// Tells the duty whether this instance is one of those that may hold its
    /// lease, by the members that are known.
    void update_duty_candidate(const std::vector<membership::member>& members);
    /// Tells the store duty whom to query, by the members that are known.
    void assign_relay_role(const std::vector<membership::member>& members);
    void on_peer_message(const peer::peer_message& message);
    void send_to_peers(const peer::message& message);
    /// Adds to the hooks of the decide thread what counts requests.
    void add_usage_hooks(decide_duty::hooks& hooks);
    /// Sends counts to the watchers of the region. Decide thread.
    void send_usage();
    void assign_usage_watchers(const std::vector<membership::member>& members);
    /// Joins the other instances once this one can answer requests.
    void join_when_ready();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] page make_page(const std::string& target);
    [[nodiscard]] std::vector<core::endpoint>
    addresses_for(const core::location& caller) const;
    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] membership::member self() const;
    /// Logs which instances have appeared or disappeared.
    void log_member_changes(const std::vector<membership::member>& before,
                            const std::vector<membership::member>& after);

    router_settings settings_;
    observe::event_log log_;
    /// Used on the decide thread only.
    request_log request_log_;
    router_metrics metrics_;
    router_hooks hooks_;
    core::latest_value<routing::caller_limits> limits_;
    core::latest_value<std::vector<membership::member>> members_;
    std::shared_ptr<const routing::route_table> route_table_;
    std::atomic<bool> has_routes_ = false;
    std::atomic<bool> has_servers_ = false;
    std::atomic<bool> is_leaving_ = false;
    std::atomic<bool> has_joined_ = false;
    /// Used on the store thread only.
    bool has_logged_ready_ = false;
    /// Peak of the number of instances. Unreachable instances may still spend
    /// their share of the retry budget, so they count for longer than
    /// partitions between regions last.
    core::recent_peak peak_instance_count_{absl::Minutes(30)};
    /// Used on the store thread only.
    membership::absent_instance_detector absent_detector_;
    server_reader server_reader_;
    /// Null unless requests are counted.
    std::unique_ptr<usage::usage_exchange> usage_;
    /// Used on the thread of the duties only.
    std::unique_ptr<usage::usage_reporter> usage_reporter_;
    std::unique_ptr<fleet_sizing> sizing_;
    /// Without this instance.
    core::latest_value<std::vector<core::instance_id>> usage_watchers_;
    std::unique_ptr<decide_duty> decide_duty_;
    std::unique_ptr<forward::forwarder> forwarder_;
    std::unique_ptr<page_duty> page_duty_;
    std::unique_ptr<peer::control_duty> control_duty_;
    std::unique_ptr<follow::store_duty> store_duty_;
    /// Empty without duties of one instance at a time.
    std::unique_ptr<singleton::singleton_duty> singleton_duty_;
    std::optional<core::duty_thread> forward_thread_;
};

} // namespace oriolefall::router

#endif

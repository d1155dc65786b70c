#ifndef ORIOLEFALL_FOLLOW_STORE_DUTY_HPP
#define ORIOLEFALL_FOLLOW_STORE_DUTY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/follow/collection_follower.hpp"
#include "oriolefall/follow/store_connection.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::follow {

/// The encoding of calls to the store.
struct store_protocol
{
    /// HTTP request target of a read call.
    std::function<std::string(const read_call&)> target;
    /// Parses the answer to a read call.
    std::function<call_result(const read_call&, const store_answer&)> parse;
    /// Calls that create or replace an object, to be made in order until one
    /// succeeds.
    std::function<std::vector<store_request>(const std::string& collection,
                                             const std::string& name,
                                             const std::string& value)>
        put;
    std::function<store_request(const std::string& collection,
                                const std::string& name)>
        remove;
};

struct store_duty_settings
{
    core::endpoint store;
    /// Collections that are followed by list and watch.
    std::vector<follower_settings> followed_collections;
    /// Collection that is listed completely at startup and then at
    /// `list_interval`. Lists after the startup may be a few seconds old, which
    /// costs the store less.
    std::string listed_collection;
    std::chrono::milliseconds list_interval{15000};
    std::chrono::milliseconds answer_timeout{1200};
    std::chrono::milliseconds write_retry_delay{500};
};

/// Notifications of the store duty. Called on the store thread; must not
/// block.
struct store_duty_hooks
{
    /// A followed collection has changed.
    std::function<void(const std::string& collection, const collection_view&)>
        on_changed;
    /// The listed collection was read completely.
    std::function<void(const std::vector<stored_object>&)> on_listed;
    /// The store became unreachable or reachable again.
    std::function<void(const std::string& collection, bool is_unreachable,
                       const std::string& cause)>
        on_unreachable_changed;
};

/// The object that represents this instance in the store while it runs.
struct own_object
{
    std::string collection;
    std::string name;
    std::string value;
    auto operator<=>(const own_object&) const = default;
};

/// The duty that communicates with the store: it follows collections and
/// maintains this instance's own object. Has a thread of its own.
class store_duty
{
public:
    store_duty(store_duty_settings settings, store_protocol protocol,
               store_duty_hooks hooks);
    ~store_duty();
    store_duty(const store_duty&) = delete;
    store_duty& operator=(const store_duty&) = delete;

    void start(const own_object& own);
    /// Starts the removal of the own object. A failed call is not retried, and
    /// `stop` aborts it. Thread-safe.
    void leave();
    /// Starts the removal of one object of the listed collection. A failed call
    /// is not retried. Thread-safe.
    void remove(const std::string& collection, const std::string& name);
    void stop();

private:
    struct followed_collection;
    void start_next_call(followed_collection& collection);
    void on_result(followed_collection& collection, const read_call& call,
                   const store_result& result);
    void schedule_expiry(followed_collection& collection);
    void start_list();
    void finish_list();
    void on_listed(const list_call& call, const store_result& result);
    void schedule_list(std::chrono::milliseconds delay);
    void write_own_object();
    void try_in_order(std::vector<store_request> calls, std::size_t index,
                      std::function<void(bool)> on_done);

    store_duty_settings settings_;
    store_protocol protocol_;
    store_duty_hooks hooks_;
    asio::io_context context_{1};
    std::vector<std::unique_ptr<followed_collection>> followed_collections_;
    std::shared_ptr<store_connection> list_connection_;
    asio::steady_timer list_timer_;
    std::string list_cursor_;
    std::vector<stored_object> listed_objects_;
    /// Number of complete lists of the listed collection.
    std::uint32_t completed_list_count_ = 0;
    asio::steady_timer write_timer_;
    own_object own_;
    bool is_leaving_ = false;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::follow

#endif

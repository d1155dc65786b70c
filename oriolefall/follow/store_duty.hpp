#ifndef ORIOLEFALL_FOLLOW_STORE_DUTY_HPP
#define ORIOLEFALL_FOLLOW_STORE_DUTY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/follow/collection_follower.hpp"
#include "oriolefall/follow/store_line.hpp"

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
    std::function<std::string(const read_call&)> target;
    std::function<call_result(const read_call&, const store_answer&)> read;
    /// Writes the whole object, whether it was there or not: the calls to
    /// make one after the other until one succeeds.
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
    /// Followed all the time.
    std::vector<follower_settings> followed;
    /// Read whole at the start and then at this pace; after the start with
    /// answers that may be seconds old, which cost the store less.
    std::string listed;
    std::chrono::milliseconds list_pause{15000};
    std::chrono::milliseconds answer_limit{1200};
    std::chrono::milliseconds write_pause{500};
};

/// What the others hear of the store. Called on the store thread; must not
/// block.
struct store_duty_hooks
{
    /// A followed collection has changed.
    std::function<void(const std::string& collection, const collection_view&)>
        changed;
    /// The listed collection was read.
    std::function<void(const std::vector<stored_object>&)> listed;
    /// The store was lost or is back.
    std::function<void(const std::string& collection, bool away,
                       const std::string& cause)>
        away;
};

/// An object that this instance keeps in the store while it lives.
struct own_object
{
    std::string collection;
    std::string name;
    std::string value;
    auto operator<=>(const own_object&) const = default;
};

/// The duty that talks to the store: follows collections, and keeps this
/// instance's own object there. One thread of its own.
class store_duty
{
public:
    store_duty(store_duty_settings settings, store_protocol protocol,
               store_duty_hooks hooks);
    ~store_duty();
    store_duty(const store_duty&) = delete;
    store_duty& operator=(const store_duty&) = delete;

    void start(const own_object& own);
    /// Removes the own object; tried until `stop`. Any thread.
    void leave();
    /// Asks for one object of the listed collection to be removed. Any thread.
    void remove(const std::string& collection, const std::string& name);
    void stop();

private:
    struct followed;
    void call_next(followed& each);
    void on_result(followed& each, const read_call& call,
                   const store_result& result);
    void watch_expiry(followed& each);
    void list();
    void finish_list();
    void on_listed(const list_call& call, const store_result& result);
    void list_after(std::chrono::milliseconds pause);
    void write_own();
    void try_writes(std::vector<store_request> calls, std::size_t at,
                    std::function<void(bool)> done);

    store_duty_settings settings_;
    store_protocol protocol_;
    store_duty_hooks hooks_;
    asio::io_context context_{1};
    std::vector<std::unique_ptr<followed>> followed_;
    std::shared_ptr<store_line> list_line_;
    asio::steady_timer list_timer_;
    std::string list_after_;
    std::vector<stored_object> listed_;
    /// Times that the collection was read whole.
    std::uint32_t lists_ = 0;
    asio::steady_timer write_timer_;
    own_object own_;
    bool leaving_ = false;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::follow

#endif

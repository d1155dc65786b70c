#ifndef ORIOLEFALL_FOLLOW_OWN_REGISTRATION_HPP
#define ORIOLEFALL_FOLLOW_OWN_REGISTRATION_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/follow/paged_list.hpp"
#include "oriolefall/follow/store_protocol.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolefall::follow {

struct registration_settings
{
    /// Lists after the start, while instances that start together register.
    std::uint32_t early_list_count = 2;
    std::chrono::milliseconds early_list_interval{2500};
    /// Later lists. They find instances that peers don't know, such as those
    /// beyond a partition that has healed.
    std::chrono::milliseconds list_interval{15000};
    std::chrono::milliseconds retry_delay{500};
    std::chrono::milliseconds answer_timeout{1200};
    auto operator<=>(const registration_settings&) const = default;
};

/// The object that represents this instance in the store while it runs.
struct own_object
{
    std::string collection;
    std::string name;
    std::string value;
    auto operator<=>(const own_object&) const = default;
};

/// Notifications of the registration. Called on the store thread.
struct registration_hooks
{
    /// The collection was read completely.
    std::function<void(const std::vector<stored_object>&)> on_listed;
    /// The collection can't be listed, for this cause, or can again.
    std::function<void(bool is_unreachable, const std::string& cause)>
        on_unreachable_changed;
};

/// Keeps the object of this instance in the store and lists those of the
/// others. Lists may be a few seconds old, which costs the store less. Called
/// on the store thread.
class own_registration
{
public:
    own_registration(asio::io_context& context, core::endpoint store,
                     registration_settings settings, store_protocol protocol,
                     registration_hooks hooks);

    void start(own_object own);
    /// The store was restored from a copy, and may have lost the own object:
    /// lists again, and writes it if it is missing.
    void on_store_restored(std::uint64_t epoch);
    /// Removes the own object. A failed call is not retried.
    void leave();
    /// Removes the object of another instance. A failed call is not retried.
    void remove(const std::string& collection, const std::string& name);
    [[nodiscard]] const own_object& own() const;

private:
    void start_list();
    void on_list_page(const list_call& call, const store_result& result);
    /// Lists from the first page on, after a pause.
    void on_list_failed(const std::string& cause);
    void finish_list();
    void schedule_list(std::chrono::milliseconds delay);
    [[nodiscard]] std::chrono::milliseconds next_list_delay() const;
    void write_own_object();
    void try_in_order(std::vector<store_request> calls, std::size_t index,
                      std::function<void(bool)> on_done);

    asio::io_context& context_;
    core::endpoint store_;
    registration_settings settings_;
    store_protocol protocol_;
    registration_hooks hooks_;
    own_object own_;
    std::shared_ptr<store_connection> list_connection_;
    asio::steady_timer list_timer_;
    paged_list list_;
    /// Whether the last list failed.
    bool is_unreachable_ = false;
    /// Number of complete lists.
    std::uint32_t list_count_ = 0;
    /// Number of complete lists when the own object was last written.
    std::uint32_t list_count_at_write_ = 0;
    bool is_written_ = false;
    /// The next list waits for its timer.
    bool is_list_scheduled_ = false;
    /// Lists of earlier epochs of the store say nothing.
    std::uint64_t epoch_ = 0;
    bool is_leaving_ = false;
};

} // namespace oriolefall::follow

#endif

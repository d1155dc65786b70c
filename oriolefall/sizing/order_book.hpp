#ifndef ORIOLEFALL_SIZING_ORDER_BOOK_HPP
#define ORIOLEFALL_SIZING_ORDER_BOOK_HPP

#include "oriolefall/duties/size_order.hpp"
#include "oriolefall/sizing/server_pool.hpp"
#include "oriolefall/sizing/sizing_settings.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriolefall::sizing {

/// Bounds on the number that the provider has for a pool. They differ while
/// the result of an order is unknown.
struct number_range
{
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    auto operator<=>(const number_range&) const = default;
};

/// What was ordered and accepted, what runs, and until when the provider or a
/// pool is not asked. Pure; for use by one thread.
class order_book
{
public:
    explicit order_book(sizing_settings settings);

    /// The lease was acquired anew: what runs counts as ordered.
    void reset();

    /// Sets the numbers of servers that run. Returns the spot pools that lost
    /// servers without an order; these are held off.
    std::vector<server_pool> on_running(absl::Time now,
                                        const pool_counts& running);
    /// Returns the pools of a service whose ordered servers did not appear;
    /// these are held off.
    std::vector<server_pool> drop_missing(absl::Time now,
                                          const routing::service_name& service,
                                          absl::Duration startup_time);
    /// The order is about to be sent; one of the next three tells its result.
    void on_sent(const duties::size_order& order);
    void on_accepted(absl::Time now, const duties::size_order& order);
    /// The provider did not execute the order. `status`: HTTP status.
    void on_refused(absl::Time now, const duties::size_order& order,
                    unsigned status);
    /// The result of the order is unknown.
    void on_failed(absl::Time now, const duties::size_order& order);

    /// Last accepted number; what runs if there is none.
    [[nodiscard]] std::uint32_t present(const server_pool& pool) const;
    /// The result of an order is unknown since the last accepted one.
    [[nodiscard]] bool is_uncertain(const server_pool& pool) const;
    [[nodiscard]] number_range range(const server_pool& pool) const;
    [[nodiscard]] std::uint32_t running(const server_pool& pool) const;
    /// When an order for the pool last had no answer; InfinitePast if the pool
    /// has no such order since the last accepted one.
    [[nodiscard]] absl::Time failed_at(const server_pool& pool) const;
    [[nodiscard]] bool has_order(const server_pool& pool) const;
    /// The pool must not be ordered larger.
    [[nodiscard]] bool is_held_off(absl::Time now,
                                   const server_pool& pool) const;
    /// Earliest time of the next order.
    [[nodiscard]] absl::Time ready_at() const noexcept
    {
        return ready_at_;
    }
    [[nodiscard]] const pool_counts& all_running() const noexcept
    {
        return all_running_;
    }

private:
    struct entry
    {
        std::optional<std::uint32_t> ordered = std::nullopt;
        /// Bounds on the numbers of orders without a known result since the
        /// last accepted one.
        std::optional<number_range> uncertain = std::nullopt;
        /// Number of the order that is being sent.
        std::optional<std::uint32_t> in_flight = std::nullopt;
        absl::Time failed_at = absl::InfinitePast();
        std::uint32_t running = 0;
        absl::Time held_until = absl::InfinitePast();
        /// Since when fewer servers run than were ordered.
        absl::Time short_since = absl::InfiniteFuture();
    };

    [[nodiscard]] const entry& find(const server_pool& pool) const;
    void hold_off(absl::Time now, entry& value) const;
    void back_off(absl::Time now);

    sizing_settings settings_;
    std::map<server_pool, entry> entries_;
    pool_counts all_running_;
    std::uint32_t failures_ = 0;
    absl::Time ready_at_ = absl::InfinitePast();
};

} // namespace oriolefall::sizing

#endif

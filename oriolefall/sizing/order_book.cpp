#include "oriolefall/sizing/order_book.hpp"

#include <algorithm>

namespace oriolefall::sizing {

namespace {

constexpr unsigned too_many_requests = 429;
/// Servers that are not listed after twice their start-up time and this are
/// not expected any more.
constexpr absl::Duration listing_grace = absl::Seconds(2);
/// Doublings of the backoff that are computed; more reach its bound.
constexpr std::uint32_t max_doublings = 10;

server_pool pool_of(const duties::size_order& order)
{
    return {.service = order.service,
            .failure_domain = order.failure_domain,
            .is_spot = order.is_spot};
}

} // namespace

order_book::order_book(sizing_settings settings) : settings_(settings) {}

void order_book::reset()
{
    for (auto& [pool, value] : entries_)
        value = {.running = value.running};
    failures_ = 0;
    ready_at_ = absl::InfinitePast();
}

std::vector<server_pool> order_book::on_running(absl::Time now,
                                                const pool_counts& running)
{
    std::vector<server_pool> lost;
    all_running_ = running;
    for (const auto& [pool, count] : running)
        entries_.try_emplace(pool);
    for (auto& [pool, value] : entries_) {
        const auto found = running.find(pool);
        const std::uint32_t count = found == running.end() ? 0 : found->second;
        // An order that may have been executed explains a lower number.
        const std::uint32_t expected = range(pool).least;
        if (pool.is_spot && count < value.running && count < expected) {
            hold_off(now, value);
            lost.push_back(pool);
        }
        value.running = count;
        if (!value.ordered || count >= *value.ordered)
            value.short_since = absl::InfiniteFuture();
        else
            value.short_since = std::min(value.short_since, now);
    }
    return lost;
}

std::vector<server_pool>
order_book::drop_missing(absl::Time now, const routing::service_name& service,
                         absl::Duration startup_time)
{
    std::vector<server_pool> dropped;
    for (auto& [pool, value] : entries_)
        if (pool.service == service &&
            now - value.short_since > 2 * startup_time + listing_grace) {
            hold_off(now, value);
            dropped.push_back(pool);
        }
    return dropped;
}

void order_book::on_sent(const duties::size_order& order)
{
    entries_[pool_of(order)].in_flight = order.servers;
}

void order_book::on_accepted(absl::Time now, const duties::size_order& order)
{
    entry& value = entries_[pool_of(order)];
    value.ordered = order.servers;
    value.in_flight.reset();
    value.uncertain.reset();
    value.failed_at = absl::InfinitePast();
    value.short_since =
        value.running < order.servers ? now : absl::InfiniteFuture();
    failures_ = 0;
    ready_at_ = now + settings_.order_interval;
}

void order_book::on_refused(absl::Time now, const duties::size_order& order,
                            unsigned status)
{
    entries_[pool_of(order)].in_flight.reset();
    if (status < 400 || status >= 500 || status == too_many_requests) {
        back_off(now);
        return;
    }
    // Other client errors concern this pool alone, as 409 does: they must not
    // delay the orders of the others.
    entries_[pool_of(order)].held_until = now + settings_.hold_off;
    failures_ = 0;
    ready_at_ = now + settings_.order_interval;
}

void order_book::on_failed(absl::Time now, const duties::size_order& order)
{
    entry& value = entries_[pool_of(order)];
    const number_range before = value.uncertain.value_or(
        number_range{.least = order.servers, .most = order.servers});
    value.uncertain = {.least = std::min(before.least, order.servers),
                       .most = std::max(before.most, order.servers)};
    value.in_flight.reset();
    value.failed_at = now;
    back_off(now);
}

std::uint32_t order_book::present(const server_pool& pool) const
{
    const entry& value = find(pool);
    return value.ordered.value_or(value.running);
}

number_range order_book::range(const server_pool& pool) const
{
    const std::uint32_t known = present(pool);
    const std::uint32_t sent = find(pool).in_flight.value_or(known);
    const number_range other = find(pool).uncertain.value_or(
        number_range{.least = known, .most = known});
    return {.least = std::min({known, sent, other.least}),
            .most = std::max({known, sent, other.most})};
}

bool order_book::is_uncertain(const server_pool& pool) const
{
    return find(pool).uncertain.has_value();
}

std::uint32_t order_book::running(const server_pool& pool) const
{
    return find(pool).running;
}

absl::Time order_book::failed_at(const server_pool& pool) const
{
    return find(pool).failed_at;
}

bool order_book::has_order(const server_pool& pool) const
{
    return find(pool).ordered.has_value();
}

bool order_book::is_held_off(absl::Time now, const server_pool& pool) const
{
    return now < find(pool).held_until;
}

const order_book::entry& order_book::find(const server_pool& pool) const
{
    static const entry none;
    const auto found = entries_.find(pool);
    return found == entries_.end() ? none : found->second;
}

void order_book::hold_off(absl::Time now, entry& value) const
{
    value.ordered.reset();
    value.uncertain.reset();
    value.short_since = absl::InfiniteFuture();
    value.held_until = now + settings_.hold_off;
}

void order_book::back_off(absl::Time now)
{
    const std::uint32_t doublings = std::min(failures_, max_doublings);
    ready_at_ = now + std::min(settings_.min_backoff * (1U << doublings),
                               settings_.max_backoff);
    ++failures_;
}

} // namespace oriolefall::sizing

#include "oriolefall/dispatch/service_pool.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <numeric>
#include <string>
#include <utility>

namespace oriolefall::dispatch {

namespace {

bool is_limited(const server_view& view)
{
    return view.server.limiter().limit().has_value();
}

/// The server with the highest rendezvous hashing weight for a key among those
/// that `is_allowed` accepts and that have no rank yet; the same on all
/// instances. Null if there is none.
template <class Predicate>
server_view* best_affinity_server(std::vector<server_view>& views,
                                  const std::string& key, Predicate is_allowed)
{
    server_view* best = nullptr;
    std::uint64_t best_weight = 0;
    for (server_view& view : views) {
        const auto& entry = view.server.entry();
        if (entry.is_draining || view.server.restriction.is_leaving ||
            view.affinity_rank != 0 || !is_allowed(view))
            continue;
        const auto weight =
            membership::rendezvous_weight(key, entry.id.value());
        if (best == nullptr || weight > best_weight) {
            best = &view;
            best_weight = weight;
        }
    }
    return best;
}

/// Marks the two affinity servers of a key: the best of those that `is_first`
/// accepts, and the next best of those that `is_second` accepts.
template <class First, class Second>
void rank_affinity_servers(std::vector<server_view>& views, std::uint64_t key,
                           First is_first, Second is_second)
{
    const std::string key_text = std::to_string(key);
    if (server_view* first = best_affinity_server(views, key_text, is_first))
        first->affinity_rank = 1;
    if (server_view* second = best_affinity_server(views, key_text, is_second))
        second->affinity_rank = 2;
}

/// Marks the `spread` servers with the highest weights for a key as its first
/// affinity servers, and the next one as its second.
template <class Predicate>
void rank_spread_servers(std::vector<server_view>& views, std::uint64_t key,
                         std::size_t spread, Predicate is_allowed)
{
    const std::string key_text = std::to_string(key);
    std::vector<std::pair<std::uint64_t, server_view*>> weighted;
    for (server_view& view : views) {
        const auto& entry = view.server.entry();
        if (!entry.is_draining && !view.server.restriction.is_leaving &&
            is_allowed(view))
            weighted.emplace_back(
                membership::rendezvous_weight(key_text, entry.id.value()),
                &view);
    }
    const std::size_t ranked = std::min(spread + 1, weighted.size());
    std::ranges::partial_sort(
        weighted, weighted.begin() + static_cast<std::ptrdiff_t>(ranked),
        std::greater(), [](const auto& each) { return each.first; });
    for (std::size_t i = 0; i < ranked; ++i)
        weighted[i].second->affinity_rank = i < spread ? 1 : 2;
}

value_range range_of(const std::vector<double>& values)
{
    if (values.empty())
        return {};
    const auto [min, max] = std::ranges::minmax(values);
    return {std::accumulate(values.begin(), values.end(), 0.0) /
                static_cast<double>(values.size()),
            min, max};
}

} // namespace

service_pool::service_pool(const lane_settings& lanes,
                           const placement_settings& placement)
    : placement_(placement), lanes_(lanes)
{
}

void service_pool::set_servers(std::vector<server_state*> servers)
{
    servers_.clear();
    std::ranges::transform(
        servers, std::back_inserter(servers_), [](server_state* each) {
            return pooled_server{each, lane_position(each->entry().id)};
        });
    for (server_state* each : servers)
        each->set_learns_capacity(learns_capacity_);
    lanes_.set_engine_count(servers_.size());
}

engine_lanes& service_pool::lanes()
{
    return lanes_;
}

bool service_pool::has_server(
    const std::function<bool(const server_state&)>& accepts) const
{
    return std::ranges::any_of(servers_, [&accepts](const auto& each) {
        return accepts(*each.state);
    });
}

std::vector<server_view> service_pool::views(const placement_query& query,
                                             const peer_load& peers,
                                             std::uint64_t random) const
{
    const bool is_divided = query.is_engine && lanes_.is_divided();
    std::vector<server_view> views;
    views.reserve(servers_.size());
    for (const pooled_server& each : servers_) {
        const auto reported = peers.at_server(each.state->entry().id);
        server_view view{*each.state, 0, reported.calls,
                         reported.backlog_tokens};
        if (each.state->learns_capacity())
            view.learned = load_of(*each.state, query.now);
        view.is_other_lane =
            is_divided && lanes_.lane_at(each.lane_position) != query.lane;
        views.push_back(view);
    }
    if (query.prompt.size() < 2)
        return views;
    const auto is_unlimited = [](const server_view& view) {
        return !view.is_other_lane && !is_limited(view);
    };
    const std::uint32_t shared =
        total_tokens(query.prompt) - query.prompt.back().tokens;
    if (is_divided && shared < placement_.min_affinity_tokens) {
        // A short shared part is soon read. A key that is asked for often would
        // overload a few engines.
        const auto is_near = [&](const server_view& view) {
            return is_unlimited(view) &&
                   view.server.entry().location.region == query.own_region;
        };
        rank_affinity_servers(views, random, is_near, is_near);
        return views;
    }
    // A server that takes few requests a second takes them in whatever size, so
    // long prompts go there. What exceeds its limit goes to one without.
    const std::uint64_t key = affinity_key(query.prompt);
    if (is_long(query) && std::ranges::any_of(views, is_limited))
        rank_affinity_servers(
            views, key,
            [](const server_view& view) {
                return !view.is_other_lane && is_limited(view);
            },
            is_unlimited);
    else if (const std::size_t spread = spread_of(key, views); spread > 1)
        rank_spread_servers(views, key, spread, is_unlimited);
    else
        rank_affinity_servers(views, key, is_unlimited, is_unlimited);
    return views;
}

std::size_t service_pool::spread_of(std::uint64_t key,
                                    const std::vector<server_view>& views) const
{
    const double share = learns_capacity_ ? hot_prompts_.share_of(key) : 0;
    if (share <= 0)
        return 1;
    double calls = 0;
    double limits = 0;
    for (const server_view& view : views) {
        if (!view.learned)
            continue;
        calls += view.learned->calls;
        limits += view.learned->call_limit;
    }
    return spread_of_part(share, calls,
                          limits / static_cast<double>(views.size()));
}

void service_pool::record_prompt(absl::Time now,
                                 std::span<const prompt_part> prompt)
{
    if (learns_capacity_)
        hot_prompts_.record(now, prompt.size() < 2 ? 0 : affinity_key(prompt));
}

bool service_pool::learns_capacity() const
{
    return learns_capacity_;
}

void service_pool::set_learns_capacity()
{
    learns_capacity_ = true;
    for (const pooled_server& each : servers_)
        each.state->set_learns_capacity(true);
}

capacity_summary service_pool::summarize_capacity(absl::Time now) const
{
    std::vector<double> limits;
    std::vector<double> scales;
    for (const pooled_server& each : servers_) {
        limits.push_back(each.state->capacity().call_limit(now));
        scales.push_back(each.state->capacity().time_scale(now));
    }
    return {servers_.size(), range_of(limits), range_of(scales)};
}

prompt_lengths& service_pool::lengths()
{
    return lengths_;
}

double service_pool::limited_availability(absl::Time now) const
{
    const auto is_shared = [now](const pooled_server& each) {
        const rate_limiter& limiter = each.state->limiter();
        return limiter.limit() &&
               limiter.next_call_at(now) != absl::InfiniteFuture();
    };
    const auto takes_call = [&](const pooled_server& each) {
        return is_shared(each) && each.state->limiter().may_send(now);
    };
    const auto shared = std::ranges::count_if(servers_, is_shared);
    if (shared == 0)
        return 1;
    return static_cast<double>(std::ranges::count_if(servers_, takes_call)) /
           static_cast<double>(shared);
}

double service_pool::mean_slow_scale(absl::Time now) const
{
    if (servers_.empty())
        return 1;
    return std::accumulate(servers_.begin(), servers_.end(), 0.0,
                           [now](double sum, const auto& each) {
                               return sum +
                                      each.state->capacity().slow_scale(now);
                           }) /
           static_cast<double>(servers_.size());
}

double service_pool::mean_slowness() const
{
    if (servers_.empty())
        return 1;
    return std::accumulate(servers_.begin(), servers_.end(), 0.0,
                           [](double sum, const auto& each) {
                               return sum + each.state->slowness();
                           }) /
           static_cast<double>(servers_.size());
}

} // namespace oriolefall::dispatch

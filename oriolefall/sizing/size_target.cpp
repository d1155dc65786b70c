#include "oriolefall/sizing/size_target.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace oriolefall::sizing {

namespace {

/// A server that is there already counts as this much cheaper: a small change
/// of the demand does not move servers between failure domains.
constexpr double present_discount = 0.7;
/// Weight of a failure domain without demand, against its share of the demand.
constexpr double base_weight = 0.5;
/// Servers up to the lower bound have to be paid for anyway and come first.
constexpr double lower_bound_factor = 1e-3;
/// Servers that a rounding error of the demand does not add.
constexpr double rounding = 1e-6;

std::uint32_t whole(double servers)
{
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint32_t>(
        std::ceil(std::clamp(servers - rounding, 0.0, most)));
}

/// Places servers one by one where they cost least.
class placement
{
public:
    explicit placement(const target_input& input) : input_(input)
    {
        for (const domain_state& domain : input.domains)
            targets_.push_back({.name = domain.name});
    }

    /// Returns how many of `count` servers found room. `region`: nullopt means
    /// any.
    std::uint32_t place(std::uint32_t count, bool is_spot,
                        const std::optional<core::region_name>& region)
    {
        for (std::uint32_t placed = 0; placed < count; ++placed) {
            const std::optional<std::size_t> best = cheapest(is_spot, region);
            if (!best)
                return placed;
            ++kind(targets_[*best], is_spot);
        }
        return count;
    }

    std::uint32_t place_any_kind(std::uint32_t count,
                                 const std::optional<core::region_name>& region)
    {
        const std::uint32_t spot =
            input_.has_spot ? place(count, true, region) : 0;
        return spot + place(count - spot, false, region);
    }

    /// Adds servers to failure domains that have fewer than the lower bound.
    void fill_min()
    {
        for (std::size_t i = 0; i < targets_.size(); ++i)
            while (total(targets_[i]) < lower_bound()) {
                const bool is_spot = input_.has_spot && has_room(i, true);
                if (!is_spot && !has_room(i, false))
                    break;
                ++kind(targets_[i], is_spot);
            }
    }

    [[nodiscard]] std::uint32_t
    placed(const std::optional<core::region_name>& region) const
    {
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < targets_.size(); ++i)
            if (!region || input_.domains[i].region == *region)
                sum += total(targets_[i]);
        return sum;
    }

    [[nodiscard]] const std::vector<domain_target>& targets() const
    {
        return targets_;
    }

private:
    static std::uint32_t& kind(domain_target& target, bool is_spot)
    {
        return is_spot ? target.spot : target.on_demand;
    }

    static std::uint32_t total(const domain_target& target)
    {
        return target.on_demand + target.spot;
    }

    [[nodiscard]] std::uint32_t lower_bound() const
    {
        return std::min(input_.min_servers, input_.max_servers);
    }

    [[nodiscard]] bool has_room(std::size_t i, bool is_spot) const
    {
        const domain_state& domain = input_.domains[i];
        const domain_target& target = targets_[i];
        return total(target) < input_.max_servers &&
               (is_spot ? target.spot < domain.spot_limit
                        : target.on_demand < domain.on_demand_limit);
    }

    [[nodiscard]] double cost(std::size_t i, bool is_spot,
                              bool is_regional) const
    {
        const domain_state& domain = input_.domains[i];
        const domain_target& target = targets_[i];
        const std::uint32_t present = is_spot ? domain.spot : domain.on_demand;
        const std::uint32_t planned = is_spot ? target.spot : target.on_demand;
        const double discount = planned < present ? present_discount : 1.0;
        const double weight =
            is_regional ? base_weight + domain.demand_share : 1.0;
        const double due =
            total(target) < lower_bound() ? lower_bound_factor : 1.0;
        return due * discount * domain.price * (total(target) + 1) / weight;
    }

    [[nodiscard]] std::optional<std::size_t>
    cheapest(bool is_spot, const std::optional<core::region_name>& region) const
    {
        std::optional<std::size_t> best;
        double best_cost = 0;
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            if (!has_room(i, is_spot) ||
                (region && input_.domains[i].region != *region))
                continue;
            const double candidate = cost(i, is_spot, region.has_value());
            if (!best || candidate < best_cost) {
                best = i;
                best_cost = candidate;
            }
        }
        return best;
    }

    const target_input& input_;
    std::vector<domain_target> targets_;
};

} // namespace

size_target plan_target(const target_input& input)
{
    placement servers(input);
    size_target result;
    double sum = 0;
    std::uint32_t urgent_placed = 0;
    for (const region_need& need : input.needs) {
        const std::uint32_t urgent = whole(need.urgent_servers);
        sum += std::max(need.servers, need.urgent_servers);
        result.urgent += urgent;
        urgent_placed += servers.place(urgent, false, need.region);
    }
    urgent_placed +=
        servers.place(result.urgent - urgent_placed, false, std::nullopt);
    result.unmet_urgent = result.urgent - urgent_placed;
    for (const region_need& need : input.needs) {
        const std::uint32_t local = whole(need.servers * input.local_share);
        const std::uint32_t placed = servers.placed(need.region);
        if (placed < local)
            servers.place_any_kind(local - placed, need.region);
    }
    result.needed = whole(sum);
    const std::uint32_t placed = servers.placed(std::nullopt);
    if (placed < result.needed)
        servers.place_any_kind(result.needed - placed, std::nullopt);
    servers.fill_min();
    const std::uint32_t all = servers.placed(std::nullopt);
    result.unmet = result.needed - std::min(result.needed, all);
    result.domains = servers.targets();
    return result;
}

} // namespace oriolefall::sizing

#include "oriolefall/sizing/demand_reader.hpp"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace oriolefall::sizing {

namespace {

constexpr absl::Duration read_interval = absl::Milliseconds(2500);
constexpr absl::Duration retry_interval = absl::Milliseconds(500);
/// Watchers publish once in a window of some seconds. One whose object stays
/// the same for longer has gone.
constexpr absl::Duration object_lifetime = absl::Seconds(12);

using region_demand_map =
    std::map<core::region_name, std::vector<usage::service_demand>>;

std::uint64_t total_calls(const std::vector<usage::service_demand>& demand)
{
    std::uint64_t sum = 0;
    for (const usage::service_demand& each : demand)
        sum += each.calls_milli;
    return sum;
}

/// Both watchers of a region know its demand; the one that knows more counts.
void add_region(region_demand_map& regions, usage::region_usage object)
{
    const auto [found, is_new] =
        regions.try_emplace(object.region, object.demand);
    if (!is_new && total_calls(object.demand) > total_calls(found->second))
        found->second = std::move(object.demand);
}

fleet_demand sum_of(const region_demand_map& regions)
{
    fleet_demand sum;
    for (const auto& [region, demand] : regions)
        for (const usage::service_demand& each : demand) {
            auto& total = sum[each.service][each.failure_domain];
            total.service = each.service;
            total.failure_domain = each.failure_domain;
            total.calls_milli += each.calls_milli;
            total.urgent_calls_milli += each.urgent_calls_milli;
            total.answers += each.answers;
            total.late_answers += each.late_answers;
            total.refused += each.refused;
        }
    return sum;
}

} // namespace

demand_reader::demand_reader(demand_hook on_demand)
    : on_demand_(std::move(on_demand))
{
}

duties::planner demand_reader::make_planner()
{
    return {.name = "demand",
            .on_acquired = [this](absl::Time now,
                                  std::uint64_t) { read_at_ = now; },
            .next = [this](absl::Time now) -> std::optional<duties::task> {
                if (now < read_at_)
                    return std::nullopt;
                read_at_ = now + read_interval;
                return duties::read_objects{
                    std::string(usage::sums_collection)};
            },
            .on_result =
                [this](absl::Time now, const duties::task&,
                       const duties::task_result& result) {
                    if (const auto* read =
                            std::get_if<duties::objects_read>(&result))
                        on_objects(now, *read);
                    else
                        read_at_ = now + retry_interval;
                },
            .next_at = [this] { return read_at_; }};
}

void demand_reader::on_objects(absl::Time now, const duties::objects_read& read)
{
    region_demand_map regions;
    for (const duties::object_version& object : read.objects) {
        if (!is_current(now, object))
            continue;
        if (auto region = usage::parse_region_usage(object.value))
            add_region(regions, std::move(*region));
    }
    on_demand_(now, sum_of(regions), regions.size());
}

bool demand_reader::is_current(absl::Time now,
                               const duties::object_version& object)
{
    const auto [found, is_new] =
        seen_.try_emplace(object.name, seen_object{object.revision, now});
    if (found->second.revision != object.revision)
        found->second = {object.revision, now};
    return now - found->second.changed_at < object_lifetime;
}

} // namespace oriolefall::sizing

#include "oriolefall/dispatch/demand_meter.hpp"

#include <cassert>
#include <cmath>
#include <utility>

namespace oriolefall::dispatch {

namespace {

std::uint64_t mean_milli(absl::Duration call_time, absl::Duration elapsed)
{
    constexpr double milli = 1000;
    return elapsed > absl::ZeroDuration()
               ? static_cast<std::uint64_t>(std::llround(
                     milli * absl::FDivDuration(call_time, elapsed)))
               : 0;
}

} // namespace

void demand_meter::record_call_sent(absl::Time now,
                                    const routing::service_name& service,
                                    bool is_urgent)
{
    service_meter& meter = meter_at(now, service);
    ++meter.all.count;
    meter.urgent.count += is_urgent ? 1 : 0;
}

void demand_meter::record_call_ended(absl::Time now,
                                     const routing::service_name& service,
                                     bool is_urgent)
{
    service_meter& meter = meter_at(now, service);
    assert(meter.all.count > 0 && (!is_urgent || meter.urgent.count > 0));
    --meter.all.count;
    meter.urgent.count -= is_urgent ? 1 : 0;
}

void demand_meter::record_answer_begun(const routing::service_name& service)
{
    ++meters_[service].answers;
}

void demand_meter::record_late_answer(const routing::service_name& service)
{
    ++meters_[service].late_answers;
}

void demand_meter::record_refused(const routing::service_name& service)
{
    ++meters_[service].refused;
}

std::vector<usage::service_demand>
demand_meter::take(absl::Time now,
                   const std::vector<routing::service_name>& services)
{
    const absl::Duration elapsed = now - std::exchange(taken_at_, now);
    std::vector<usage::service_demand> all;
    for (const routing::service_name& service : services) {
        service_meter& meter = meter_at(now, service);
        usage::service_demand& demand = all.emplace_back();
        demand.service = service;
        demand.calls_milli = mean_milli(meter.all.call_time, elapsed);
        demand.urgent_calls_milli = mean_milli(meter.urgent.call_time, elapsed);
        demand.answers = std::exchange(meter.answers, 0);
        demand.late_answers = std::exchange(meter.late_answers, 0);
        demand.refused = std::exchange(meter.refused, 0);
    }
    for (auto& [service, meter] : meters_) {
        meter.all.call_time = absl::ZeroDuration();
        meter.urgent.call_time = absl::ZeroDuration();
        meter.counted_until = now;
    }
    return all;
}

demand_meter::service_meter&
demand_meter::meter_at(absl::Time now, const routing::service_name& service)
{
    service_meter& meter = meters_[service];
    if (meter.counted_until == absl::InfinitePast())
        meter.counted_until = now;
    const absl::Duration elapsed =
        now - std::exchange(meter.counted_until, now);
    meter.all.call_time += elapsed * meter.all.count;
    meter.urgent.call_time += elapsed * meter.urgent.count;
    return meter;
}

} // namespace oriolefall::dispatch

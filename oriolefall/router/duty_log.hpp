#ifndef ORIOLEFALL_ROUTER_DUTY_LOG_HPP
#define ORIOLEFALL_ROUTER_DUTY_LOG_HPP

#include "oriolefall/observe/event_log.hpp"
#include "oriolefall/singleton/singleton_duty.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolefall::router {

/// Names for logs and metrics.
[[nodiscard]] std::string_view to_string(singleton::lease_change change);
/// "accepted", "refused" or "failed".
[[nodiscard]] std::string_view
outcome_of(const singleton::provider_call_record& record);

/// Write one line each.
void log_lease_change(observe::event_log& log, singleton::lease_change change,
                      std::uint64_t fencing_number);
void log_provider_call(observe::event_log& log,
                       const singleton::provider_call_record& record);

} // namespace oriolefall::router

#endif

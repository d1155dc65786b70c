#include "oriolefall/router/duty_log.hpp"

#include "oriolefall/core/concat.hpp"

#include <variant>

namespace oriolefall::router {

namespace {

/// What the calls of one duty are about, and what the call says of it.
struct call_text
{
    std::string subject;
    std::string order;
};

call_text text_of(const duties::usage_report& report)
{
    return {"usage", core::concat("window ", std::to_string(report.window))};
}

call_text text_of(const duties::size_order& order)
{
    return {core::concat(order.service.value(), "/",
                         order.failure_domain.value(),
                         order.is_spot ? "/spot" : ""),
            core::concat("servers ", std::to_string(order.servers))};
}

/// Status or cause; empty for an accepted call.
std::string detail_of(const duties::task_result& result)
{
    if (const auto* refused = std::get_if<duties::provider_refused>(&result))
        return core::concat("status ", std::to_string(refused->status));
    if (const auto* failed = std::get_if<duties::task_failed>(&result))
        return failed->cause;
    return {};
}

} // namespace

std::string_view to_string(singleton::lease_change change)
{
    switch (change) {
    case singleton::lease_change::acquired:
        return "acquired";
    case singleton::lease_change::lost:
        return "lost";
    case singleton::lease_change::released:
        return "released";
    }
    return "unknown";
}

std::string_view outcome_of(const singleton::provider_call_record& record)
{
    if (std::holds_alternative<duties::provider_accepted>(record.result))
        return "accepted";
    if (std::holds_alternative<duties::provider_refused>(record.result))
        return "refused";
    return "failed";
}

void log_lease_change(observe::event_log& log, singleton::lease_change change,
                      std::uint64_t fencing_number)
{
    log.write("duty_lease", {{"change", to_string(change)},
                             {"number", std::to_string(fencing_number)}});
}

void log_provider_call(observe::event_log& log,
                       const singleton::provider_call_record& record)
{
    const call_text text = std::visit(
        [](const auto& order) { return text_of(order); }, record.call.order);
    log.write("provider_call",
              {{"duty", record.duty},
               {"subject", text.subject},
               {"number", std::to_string(record.fencing_number)},
               {"order", text.order},
               {"outcome", outcome_of(record)},
               {"cause", detail_of(record.result)}});
}

} // namespace oriolefall::router

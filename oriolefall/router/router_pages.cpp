#include "oriolefall/membership/near_instances.hpp"
#include "oriolefall/router/router.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::router {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_not_found = 404;

} // namespace

bool router::is_ready() const
{
    return has_routes_ && has_servers_ && !is_leaving_;
}

page router::make_page(const std::string& target)
{
    const page_request request = hooks_.parse_page_request(target);
    if (std::holds_alternative<readiness_request>(request))
        return {is_ready() ? status_ok : status_unavailable, "text/plain",
                is_ready() ? "ready\n" : "not ready\n"};
    if (const auto* address = std::get_if<address_request>(&request)) {
        const auto chosen = addresses_for(address->caller);
        if (chosen.empty())
            return {status_unavailable, "application/json", "{}"};
        return {status_ok, "application/json",
                hooks_.print_addresses(chosen, settings_.address_lifetime)};
    }
    if (std::holds_alternative<metrics_request>(request))
        return {status_ok, "text/plain; version=0.0.4", metrics_text()};
    return {status_not_found, "text/plain", "not found\n"};
}

std::vector<core::endpoint>
router::addresses_for(const core::location& caller) const
{
    auto known = *members_.get();
    const auto own =
        std::ranges::find(known, settings_.instance, &membership::member::id);
    if (own != known.end())
        known.erase(own);
    if (is_ready())
        known.push_back(self());
    const auto chosen = membership::near_instances(caller, known, {});
    std::vector<core::endpoint> addresses;
    std::ranges::transform(chosen, std::back_inserter(addresses),
                           &membership::member::caller_endpoint);
    return addresses;
}

std::string router::metrics_text()
{
    const auto counts = forwarder_->counters();
    return metrics_.text({counts.callers, counts.open_requests,
                          counts.server_connections_opened,
                          log_.dropped_lines(), is_ready()});
}

} // namespace oriolefall::router

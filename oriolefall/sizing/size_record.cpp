#include "oriolefall/sizing/size_record.hpp"

#include "oriolefall/json_text/json_text.hpp"

#include <limits>

namespace oriolefall::sizing {

namespace {

constexpr std::uint64_t max_servers = std::numeric_limits<std::uint16_t>::max();

std::optional<std::string> text_member(const nlohmann::json& object,
                                       const char* key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

void read_order(const nlohmann::json& order, pool_counts& orders)
{
    if (!order.is_object())
        return;
    const auto service = text_member(order, "service");
    const auto domain = text_member(order, "failure_domain");
    const auto spot = order.find("spot");
    const auto servers = order.find("servers");
    if (!service || !domain || spot == order.end() || !spot->is_boolean() ||
        servers == order.end() || !servers->is_number_unsigned() ||
        servers->get<std::uint64_t>() > max_servers)
        return;
    orders[{.service = routing::service_name(*service),
            .failure_domain = core::failure_domain_name(*domain),
            .is_spot = spot->get<bool>()}] = servers->get<std::uint32_t>();
}

} // namespace

std::string print(const size_record& record)
{
    nlohmann::json orders = nlohmann::json::array();
    for (const auto& [pool, servers] : record.orders)
        orders.push_back({{"service", pool.service.value()},
                          {"failure_domain", pool.failure_domain.value()},
                          {"spot", pool.is_spot},
                          {"servers", servers}});
    return json_text::print(
        {{"fence", record.fencing_number}, {"orders", std::move(orders)}});
}

std::optional<size_record> parse_size_record(std::string_view text)
{
    const std::optional<nlohmann::json> parsed = json_text::parse(text);
    if (!parsed || !parsed->is_object())
        return std::nullopt;
    const auto fence = parsed->find("fence");
    const auto orders = parsed->find("orders");
    if (fence == parsed->end() || !fence->is_number_unsigned() ||
        orders == parsed->end() || !orders->is_array())
        return std::nullopt;
    size_record record{.fencing_number = fence->get<std::uint64_t>()};
    for (const nlohmann::json& order : *orders)
        read_order(order, record.orders);
    return record;
}

} // namespace oriolefall::sizing

#include "oriolefall/objects/claim_lane.hpp"

#include <functional>
#include <utility>

namespace oriolefall::objects {

claim_lane::claim_lane(object_store store, std::function<void()> stop_store,
                       std::string holder, std::size_t capacity,
                       key_claimed_hook claimed, outcome_recorded recorded)
    : claims_(std::move(store), std::move(holder)),
      stop_store_(std::move(stop_store)), claimed_(std::move(claimed)),
      recorded_(std::move(recorded)), orders_(capacity),
      thread_("platform-claim", [this] { run(); })
{
}

claim_lane::~claim_lane()
{
    orders_.close();
    stop_store_();
    thread_.join();
}

bool claim_lane::submit(claim_order order)
{
    return orders_.try_push(std::move(order));
}

std::size_t claim_lane::lane_of(const claim_order& order, std::size_t lanes)
{
    const std::string path = std::visit(
        [](const auto& some) {
            return claim_store::path_of(some.workspace, some.key);
        },
        order);
    return std::hash<std::string>{}(path) % lanes;
}

void claim_lane::run()
{
    while (const auto order = orders_.pop())
        std::visit([this](const auto& some) { carry_out(some); }, *order);
}

void claim_lane::carry_out(const decision::claim_key& order)
{
    claimed_({order.request, claims_.claim(order.workspace, order.key)});
}

void claim_lane::carry_out(const decision::record_outcome& order)
{
    recorded_(claims_.record(order.workspace, order.key, order.verdict));
}

} // namespace oriolefall::objects

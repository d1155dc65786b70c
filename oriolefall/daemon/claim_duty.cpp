#include "oriolefall/daemon/claim_duty.hpp"

#include <absl/strings/str_cat.h>

namespace oriolefall::daemon {

namespace {

/// Claims that wait for a lane at most.
constexpr std::size_t lane_capacity = 256;

} // namespace

claim_duty::claim_duty(const platform_access& access, std::size_t lanes,
                       const objects::claim_worker::key_claimed_hook& claimed)
{
    lanes_.reserve(lanes);
    for (std::size_t number = 0; number < lanes; ++number)
        lanes_.push_back(make_lane(access, number, claimed));
}

bool claim_duty::submit(const objects::claim_task& order)
{
    const std::size_t at =
        objects::claim_worker::worker_index(order, lanes_.size());
    return lanes_[at].claims->submit(order);
}

claim_duty::lane
claim_duty::make_lane(const platform_access& access, std::size_t number,
                      const objects::claim_worker::key_claimed_hook& claimed)
{
    const std::string duty = absl::StrCat("claim", number);
    auto client =
        std::make_unique<objects::client>(client_settings_of(access, duty));
    const auto recorded = [tell = access.tell](bool kept) {
        const std::string result = kept ? "kept" : "not_kept";
        tell(observe::counter_added{"claim_outcomes_total", "result", result});
    };
    const std::string holder =
        absl::StrCat(access.instance.value(), "/", access.incarnation);
    objects::client& calls = *client;
    auto claims = std::make_unique<objects::claim_worker>(
        calls.as_object_store(), [&calls] { calls.stop(); }, holder,
        lane_capacity, claimed, recorded);
    return {std::move(client), std::move(claims)};
}

} // namespace oriolefall::daemon

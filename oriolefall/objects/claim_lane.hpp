#ifndef ORIOLEFALL_OBJECTS_CLAIM_LANE_HPP
#define ORIOLEFALL_OBJECTS_CLAIM_LANE_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/decision/action.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/objects/claim_store.hpp"

#include <cstddef>
#include <functional>
#include <variant>

namespace oriolefall::objects {

/// What the decisions ask of the claims.
using claim_order = std::variant<decision::claim_key, decision::record_outcome>;

/// Whether an outcome was kept; for counters.
using outcome_recorded = std::function<void(bool)>;

/// Carries out claims one after the other on a thread of its own. Where one
/// lane is too slow there may be several, as long as every order of one key
/// goes to the same lane (`lane_of`).
class claim_lane
{
public:
    using key_claimed_hook = std::function<void(decision::key_claimed)>;

    /// `claimed` and `recorded` are called on the lane's thread. `stop_store`
    /// ends a call of `store` that is under way.
    claim_lane(object_store store, std::function<void()> stop_store,
               std::string holder, std::size_t capacity,
               key_claimed_hook claimed, outcome_recorded recorded);
    claim_lane(const claim_lane&) = delete;
    claim_lane& operator=(const claim_lane&) = delete;
    /// Carries out what waits, as far as the store still answers, and joins.
    ~claim_lane();

    /// Never blocks. False when there is no room: the claim counts as
    /// unavailable.
    [[nodiscard]] bool submit(claim_order order);

    /// Lane, from 0, that orders of this key go to.
    [[nodiscard]] static std::size_t lane_of(const claim_order& order,
                                             std::size_t lanes);

private:
    void run();
    void carry_out(const decision::claim_key& order);
    void carry_out(const decision::record_outcome& order);

    claim_store claims_;
    std::function<void()> stop_store_;
    key_claimed_hook claimed_;
    outcome_recorded recorded_;
    core::bounded_ring<claim_order> orders_;
    core::duty_thread thread_;
};

} // namespace oriolefall::objects

#endif

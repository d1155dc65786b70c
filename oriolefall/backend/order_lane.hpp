#ifndef ORIOLEFALL_BACKEND_ORDER_LANE_HPP
#define ORIOLEFALL_BACKEND_ORDER_LANE_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace oriolefall::backend {

/// What a model engine said to an order.
enum class order_answer : std::uint8_t
{
    loading,
    loaded,
    refused, ///< its fencing number was old (409)
    failed   ///< no answer, an error, or too late to be sent
};

/// Orders an engine to load a model. Repeating it does no harm.
struct load_order
{
    core::endpoint endpoint;
    core::model_name model;
    std::uint64_t fencing_number = 0;
    /// It is not sent after this.
    absl::Time send_before = absl::InfiniteFuture();
    /// Called on the lane's thread; must not block.
    std::function<void(order_answer)> done;
};

/// Asks an engine how many requests it runs or holds.
struct load_question
{
    core::endpoint endpoint;
    /// Called when there is an answer, on the lane's thread; must not block.
    std::function<void(std::uint64_t running)> done;
};

using engine_order = std::variant<load_order, load_question>;

/// Carries out orders to engines one after the other on a thread of its own.
class order_lane
{
public:
    /// `capacity`: orders that wait at most. `limit`: longest time of one.
    order_lane(std::size_t capacity, absl::Duration limit);
    order_lane(const order_lane&) = delete;
    order_lane& operator=(const order_lane&) = delete;
    /// Drops what waits.
    ~order_lane();

    /// Never blocks. False when there is no room; `done` is then not called.
    bool submit(engine_order order);

private:
    void run();
    void carry_out(const load_order& order) const;
    void carry_out(const load_question& question) const;

    absl::Duration limit_;
    core::bounded_ring<engine_order> orders_;
    core::duty_thread thread_;
};

} // namespace oriolefall::backend

#endif

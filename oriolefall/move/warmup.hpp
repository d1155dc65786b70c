#ifndef ORIOLEFALL_MOVE_WARMUP_HPP
#define ORIOLEFALL_MOVE_WARMUP_HPP

#include "oriolefall/move/event.hpp"
#include "oriolefall/move/mover_settings.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oriolefall::move {

/// Keeps the models of arriving servers loaded: sends each order under the
/// weight store's rate limit and repeats it. Pure; one thread.
class warmup
{
public:
    /// Forgets what was answered; `servers` are to be warmed.
    void begin(const std::vector<arriving_server>& servers);
    void on(const order_answered& event);

    /// The time in which one holder gives orders.
    struct term
    {
        /// Goes into each order.
        std::uint64_t fencing_number = 0;
        /// Servers that do not check it get no order before.
        absl::Time quiet_until = absl::InfinitePast();
        /// No order may be sent after.
        absl::Time held_until = absl::InfinitePast();
    };

    /// Adds the orders that are due.
    void step(absl::Time now, const term& held, const mover_settings& settings,
              std::vector<action>& out);

    [[nodiscard]] bool is_complete() const;
    /// "SERVER/MODEL" of each that is not loaded yet.
    [[nodiscard]] std::vector<std::string> missing() const;

private:
    struct progress
    {
        bool checks_fencing = false;
        bool loaded = false;
        absl::Time ordered_at = absl::InfinitePast();
    };
    using target = std::pair<core::backend_server_id, core::model_name>;

    std::map<target, progress> targets_;
    absl::Time last_load_at_ = absl::InfinitePast();
};

} // namespace oriolefall::move

#endif

#ifndef ORIOLEFALL_DECISION_ROUTE_QUEUE_HPP
#define ORIOLEFALL_DECISION_ROUTE_QUEUE_HPP

#include "oriolefall/core/tier.hpp"
#include "oriolefall/decision/fair_queue.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolefall::decision {

/// A class as its queue sees it.
struct queue_class
{
    std::uint32_t index = 0;
    core::tier tier = core::tier::standard;
    /// Part of the server time kept for it, above 0.
    double minimum_share = 0.02;
    auto operator<=>(const queue_class&) const = default;
};

/// What waits for one model or plain service: three tiers, the higher ones
/// strictly ahead, but for the minimum share of each class. Shares are kept
/// by deficit counters (Shreedhar and Varghese, 1995) that grow with what
/// others are served, and faster the longer a class waits.
class route_queue
{
public:
    void push(const queue_class& owner, const core::workspace_id& workspace,
              const waiting_request& item);
    void erase(core::tier tier, const core::workspace_id& workspace,
               const waiting_request& item);
    /// Takes a request to be served and settles the classes' shares.
    void pop(core::tier tier, const core::workspace_id& workspace,
             const waiting_request& item, absl::Time now);

    /// A served request took `cost` seconds more (or less) than expected: its
    /// workspace is charged, and others are owed their share of more.
    void adjust_charge(core::tier tier, const core::workspace_id& workspace,
                       std::uint32_t class_index, double cost, absl::Time now);
    /// A broken stream waits to go on. It is served before the others of its
    /// tier and is no longer charged to its workspace.
    void push_resuming(const queue_class& owner, const waiting_request& item);
    void erase_resuming(core::tier tier, const waiting_request& item);
    void pop_resuming(core::tier tier, const waiting_request& item,
                      absl::Time now);

    /// Next request of a tier that is not a broken stream.
    [[nodiscard]] std::optional<waiting_request> peek(core::tier tier) const;
    /// Next broken stream of a tier; of one class only, if given.
    [[nodiscard]] std::optional<waiting_request>
    peek_resuming(core::tier tier,
                  std::optional<std::uint32_t> class_index = {}) const;
    /// Next request of a class that lags behind its minimum share.
    [[nodiscard]] std::optional<waiting_request> peek_underserved() const;
    /// Latest time at which one of a tier that was pushed is still in time.
    [[nodiscard]] absl::Time max_latest_start(core::tier tier) const
    {
        return max_latest_start_[static_cast<std::size_t>(tier)];
    }

    [[nodiscard]] const fair_queue& tier_queue(core::tier tier) const
    {
        return tiers_[static_cast<std::size_t>(tier)];
    }
    [[nodiscard]] fair_queue& tier_queue(core::tier tier)
    {
        return tiers_[static_cast<std::size_t>(tier)];
    }
    [[nodiscard]] bool empty() const;

private:
    struct class_share
    {
        queue_class owner;
        std::size_t waiting = 0;
        /// Server time owed to the class, in seconds.
        double deficit = 0.0;
        absl::Time waiting_since = absl::InfiniteFuture();
    };

    class_share* find_share(std::uint32_t class_index, core::tier tier);
    void add_waiting(const queue_class& owner);
    void remove_waiting(std::uint32_t class_index, core::tier tier);
    [[nodiscard]] std::optional<waiting_request>
    next_of(const class_share& underserved) const;
    void update_deficits(std::uint32_t served_class, double cost,
                         absl::Time now);

    std::array<fair_queue, core::tier_count> tiers_;
    std::array<absl::btree_set<waiting_request>, core::tier_count> resuming_;
    std::array<absl::Time, core::tier_count> max_latest_start_{};
    std::vector<class_share> shares_;
};

} // namespace oriolefall::decision

#endif

#ifndef ORIOLEFALL_DECISION_ROUTE_QUEUE_HPP
#define ORIOLEFALL_DECISION_ROUTE_QUEUE_HPP

#include "oriolefall/core/tier.hpp"
#include "oriolefall/scheduling/fair_queue.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolefall::decision {

/// The properties of a class that its queue uses.
struct queue_class
{
    std::uint32_t index = 0;
    core::tier tier = core::tier::standard;
    /// Guaranteed share of the service time, above 0.
    double minimum_share = 0.02;
    auto operator<=>(const queue_class&) const = default;
};

/// Queued requests of one model or plain service: three tiers with strict
/// priority, except for the minimum share of each class. The shares are
/// guaranteed by deficit counters (Shreedhar and Varghese, 1995) that grow with
/// the service given to other classes, and faster the longer a class waits.
class route_queue
{
public:
    void push(const queue_class& owner, const core::workspace_id& workspace,
              const scheduling::waiting_request& item);
    void erase(core::tier tier, const core::workspace_id& workspace,
               const scheduling::waiting_request& item);
    /// Removes a request to be served and updates the deficits.
    void pop(core::tier tier, const core::workspace_id& workspace,
             const scheduling::waiting_request& item, absl::Time now);

    /// Accounts for a request that took `cost` seconds more (or less) than
    /// expected: charges its workspace, and for a positive `cost` updates the
    /// deficits.
    void adjust_charge(core::tier tier, const core::workspace_id& workspace,
                       std::uint32_t class_index, double cost, absl::Time now);
    /// Adds an interrupted stream that waits to be resumed. It is served before
    /// the other requests of its tier and is not charged to its workspace
    /// again.
    void push_resuming(const queue_class& owner,
                       const scheduling::waiting_request& item);
    void erase_resuming(core::tier tier,
                        const scheduling::waiting_request& item);
    void pop_resuming(core::tier tier, const scheduling::waiting_request& item,
                      absl::Time now);

    /// Next request of a tier, apart from interrupted streams.
    [[nodiscard]] std::optional<scheduling::waiting_request>
    peek(core::tier tier) const;
    /// Next interrupted stream of a tier; restricted to one class if given.
    [[nodiscard]] std::optional<scheduling::waiting_request>
    peek_resuming(core::tier tier,
                  std::optional<std::uint32_t> class_index = {}) const;
    /// Next request of a class that has received less than its minimum share.
    [[nodiscard]] std::optional<scheduling::waiting_request>
    peek_underserved() const;
    /// Maximum of the latest starts of all requests pushed to a tier so far.
    [[nodiscard]] absl::Time max_latest_start(core::tier tier) const
    {
        return max_latest_start_[static_cast<std::size_t>(tier)];
    }

    [[nodiscard]] const scheduling::fair_queue&
    tier_queue(core::tier tier) const
    {
        return tiers_[static_cast<std::size_t>(tier)];
    }
    [[nodiscard]] scheduling::fair_queue& tier_queue(core::tier tier)
    {
        return tiers_[static_cast<std::size_t>(tier)];
    }
    [[nodiscard]] bool empty() const;

private:
    struct class_share
    {
        queue_class owner;
        std::size_t waiting = 0;
        /// Service time owed to the class, in seconds.
        double deficit = 0.0;
        absl::Time waiting_since = absl::InfiniteFuture();
    };

    class_share* find_share(std::uint32_t class_index, core::tier tier);
    void add_waiting(const queue_class& owner);
    void remove_waiting(std::uint32_t class_index, core::tier tier);
    [[nodiscard]] std::optional<scheduling::waiting_request>
    next_of(const class_share& underserved) const;
    void update_deficits(std::uint32_t served_class, double cost,
                         absl::Time now);

    std::array<scheduling::fair_queue, core::tier_count> tiers_;
    std::array<absl::btree_set<scheduling::waiting_request>, core::tier_count>
        resuming_;
    std::array<absl::Time, core::tier_count> max_latest_start_{};
    std::vector<class_share> shares_;
};

} // namespace oriolefall::decision

#endif

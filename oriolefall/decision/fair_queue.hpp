#ifndef ORIOLEFALL_DECISION_FAIR_QUEUE_HPP
#define ORIOLEFALL_DECISION_FAIR_QUEUE_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolefall::decision {

/// A request that waits.
struct waiting_request
{
    /// Latest start that meets its target; earlier ones go first inside a
    /// workspace.
    absl::Time latest_start;
    core::request_id id;
    std::uint32_t class_index = 0;
    /// Server time it is expected to take, in seconds.
    double cost = 0.0;
    std::partial_ordering operator<=>(const waiting_request&) const = default;
};

/// The waiting requests of one tier, shared among workspaces by start-time
/// fair queueing (Goyal, Vin and Cheng, 1996): the workspace that has received
/// the least server time goes next, however many requests another sends.
class fair_queue
{
public:
    void push(const core::workspace_id& workspace, const waiting_request& item);
    /// The request that is to go next; of `class_index` only, if given.
    [[nodiscard]] std::optional<waiting_request>
    peek(std::optional<std::uint32_t> class_index = std::nullopt) const;
    /// Takes a waiting request to be served; its workspace is charged.
    void pop(const core::workspace_id& workspace, const waiting_request& item);
    /// Takes a waiting request out without a charge.
    void erase(const core::workspace_id& workspace,
               const waiting_request& item);
    /// Charges a workspace `cost` more (or less) than was expected.
    void adjust_charge(const core::workspace_id& workspace, double cost);
    /// Newest request of `class_index` in the workspace with most of them.
    [[nodiscard]] std::optional<waiting_request>
    newest_of_largest(std::uint32_t class_index) const;

    [[nodiscard]] bool empty() const
    {
        return size_ == 0;
    }
    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }
    /// Expected server time of all that waits, in seconds.
    [[nodiscard]] double cost() const
    {
        return size_ == 0 ? 0.0 : cost_;
    }
    [[nodiscard]] double
    waiting_cost_of(const core::workspace_id& workspace) const;
    /// Requests of one class that a workspace has waiting.
    [[nodiscard]] std::size_t size_of(const core::workspace_id& workspace,
                                      std::uint32_t class_index) const;
    /// Workspaces with something waiting.
    [[nodiscard]] std::size_t waiting_workspaces() const
    {
        return backlogged_.size();
    }

private:
    using class_queue = absl::btree_set<waiting_request>;

    struct flow
    {
        /// Start tag of the next request.
        double start_tag = 0.0;
        double cost = 0.0;
        std::size_t size = 0;
        /// Its place in the order of equal tags.
        std::uint32_t number = 0;
        /// By class index; short.
        std::vector<class_queue> classes;
    };

    struct flow_key
    {
        double start_tag;
        std::uint32_t number;
        auto operator<=>(const flow_key&) const = default;
    };

    flow& flow_of(const core::workspace_id& workspace);
    [[nodiscard]] const flow* find(const core::workspace_id& workspace) const;
    void remove(flow& owner, const waiting_request& item);
    void reset_if_empty();

    absl::flat_hash_map<core::workspace_id, std::uint32_t> flow_numbers_;
    std::vector<flow> flows_;
    /// Flows with something waiting, by start tag.
    absl::btree_set<flow_key> backlogged_;
    double virtual_time_ = 0.0;
    double cost_ = 0.0;
    std::size_t size_ = 0;
};

} // namespace oriolefall::decision

#endif

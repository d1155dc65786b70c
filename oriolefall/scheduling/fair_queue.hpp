#ifndef ORIOLEFALL_SCHEDULING_FAIR_QUEUE_HPP
#define ORIOLEFALL_SCHEDULING_FAIR_QUEUE_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolefall::scheduling {

/// A queued request.
struct waiting_request
{
    /// Latest start with which the target is met; within a workspace the
    /// earliest is served first.
    absl::Time latest_start;
    core::request_id id;
    std::uint32_t class_index = 0;
    /// Expected service time, in seconds.
    double cost = 0.0;
    std::partial_ordering operator<=>(const waiting_request&) const = default;
};

/// Queued requests of one tier, shared among workspaces by start-time fair
/// queueing (Goyal, Vin and Cheng, 1996): the workspace that has received the
/// least service time is served next, no matter how many requests another one
/// sends.
class fair_queue
{
public:
    void push(const core::workspace_id& workspace, const waiting_request& item);
    /// The next request; restricted to `class_index` if given.
    [[nodiscard]] std::optional<waiting_request>
    peek(std::optional<std::uint32_t> class_index = std::nullopt) const;
    /// Removes a request to be served and charges its workspace.
    void pop(const core::workspace_id& workspace, const waiting_request& item);
    /// Removes a request without a charge.
    void erase(const core::workspace_id& workspace,
               const waiting_request& item);
    /// Adds `cost`, which may be negative, to the charge of a workspace whose
    /// request took longer or shorter than expected.
    void adjust_charge(const core::workspace_id& workspace, double cost);
    /// The request of `class_index` that would be served last in the workspace
    /// with most requests of that class.
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
    /// Expected service time of all queued requests, in seconds.
    [[nodiscard]] double cost() const
    {
        return size_ == 0 ? 0.0 : cost_;
    }
    [[nodiscard]] double
    waiting_cost_of(const core::workspace_id& workspace) const;
    /// Number of queued requests of one class in a workspace.
    [[nodiscard]] std::size_t size_of(const core::workspace_id& workspace,
                                      std::uint32_t class_index) const;
    /// Number of workspaces with queued requests.
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
        /// Index of the flow; orders flows with equal start tags.
        std::uint32_t number = 0;
        /// By class index.
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
    /// Flows with queued requests, by start tag.
    absl::btree_set<flow_key> backlogged_;
    double virtual_time_ = 0.0;
    double cost_ = 0.0;
    std::size_t size_ = 0;
};

} // namespace oriolefall::scheduling

#endif

#ifndef ORIOLEFALL_DISPATCH_WAITING_REQUESTS_HPP
#define ORIOLEFALL_DISPATCH_WAITING_REQUESTS_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/dispatch/wait_estimate.hpp"
#include "oriolefall/scheduling/fair_queue.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace oriolefall::dispatch {

/// A request that waits for a server.
struct queued_request
{
    core::request_id id;
    core::workspace_id workspace;
    /// Priority at the servers; 0 is the most urgent. Below `tier_count`.
    std::uint32_t tier = 0;
    /// Latest start with which the latency target is met.
    absl::Time latest_start;
    /// Latest start with which the answer is complete before the deadline.
    absl::Time last_start = absl::InfiniteFuture();
    /// Expected service time, in seconds.
    double cost = 0;
    std::partial_ordering operator<=>(const queued_request&) const = default;
};

/// The waiting requests of one service: by tier, within a tier by fair share of
/// the workspaces, within a workspace by latest start. Not thread-safe.
class waiting_requests
{
public:
    void push(absl::Time now, queued_request request);
    /// Removes a request that is not sent. False if it does not wait.
    bool erase(absl::Time now, core::request_id id);
    /// Removes a request that is sent.
    void pop(absl::Time now, core::request_id id);
    /// A request of `tier` was sent without waiting.
    void record_sent_past(std::uint32_t tier);

    /// The next request of the most urgent tier that waits.
    [[nodiscard]] const queued_request* most_urgent() const;
    /// The next request of a less urgent tier whose share is due; null if there
    /// is none.
    [[nodiscard]] const queued_request* due_by_share() const;
    /// A request that cannot finish before its deadline; null if there is none.
    /// One that would be served late in a less urgent tier comes first.
    [[nodiscard]] const queued_request* hopeless(absl::Time now) const;

    /// Expected time until a request that waits, or that is not queued yet, is
    /// sent.
    [[nodiscard]] absl::Duration
    expected_wait(absl::Time now, const queued_request& request) const;
    /// Expected time until all requests that wait in this tier and more urgent
    /// ones are sent, and one of `cost`.
    [[nodiscard]] absl::Duration drain_time(absl::Time now, std::uint32_t tier,
                                            double cost) const;
    /// True when the request cannot finish before its deadline after the
    /// expected wait.
    [[nodiscard]] bool is_hopeless(absl::Time now,
                                   const queued_request& request) const;
    /// Number of waiting requests in this tier and more urgent ones.
    [[nodiscard]] std::size_t size_up_to(std::uint32_t tier) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool empty() const;

private:
    /// Work of a workspace in a tier, in seconds.
    struct workspace_work
    {
        /// Work queued so far, and work that has left the queue again.
        double queued = 0;
        double left = 0;
        std::size_t size = 0;
    };

    struct tier_queue
    {
        scheduling::fair_queue order;
        absl::flat_hash_map<core::workspace_id, workspace_work> work;
        /// Turns earned by the sends of more urgent tiers; 1 makes it due.
        double earned_turns = 0;
    };

    struct entry
    {
        queued_request request;
        /// Work that its workspace had queued up to and with this request.
        double queued_work = 0;
    };

    [[nodiscard]] std::uint32_t waiting_tiers() const;
    [[nodiscard]] const queued_request* head_of(const tier_queue& tier) const;
    /// Work ahead in its tier, with the request itself.
    [[nodiscard]] double work_ahead(const queued_request& request) const;
    [[nodiscard]] double work_before(std::uint32_t tier) const;
    /// Removes the bookkeeping of a request that is out of its tier's order.
    void forget(const entry& removed);

    std::array<tier_queue, tier_count> tiers_;
    absl::flat_hash_map<std::uint64_t, entry> entries_;
    /// The requests by the latest start that meets the deadline.
    absl::btree_set<std::pair<absl::Time, std::uint64_t>> by_last_start_;
    wait_estimate estimate_;
};

} // namespace oriolefall::dispatch

#endif

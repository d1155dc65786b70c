#ifndef ORIOLEFALL_MOVE_LEASE_HPP
#define ORIOLEFALL_MOVE_LEASE_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace oriolefall::move {

/// A lease as it is kept in the platform.
struct lease
{
    /// Empty: free.
    core::instance_id holder;
    /// Grows with each holder; carried by every order.
    std::uint64_t fencing_number = 0;
    auto operator<=>(const lease&) const = default;
};

/// Replace the lease if it still has this version; 0: if there is none.
struct write_lease
{
    move::lease lease;
    std::uint64_t expected_version = 0;
    auto operator<=>(const write_lease&) const = default;
};

struct lease_settings
{
    /// How long a lease lasts after its last renewal was sent.
    absl::Duration duration = absl::Seconds(10);
    /// Taken off by the holder and added by the others, for clocks that do
    /// not run alike.
    absl::Duration margin = absl::Seconds(1);
    std::strong_ordering operator<=>(const lease_settings&) const = default;
};

/// One instance's view of a lease. Clocks need not agree: a holder counts from
/// when it sent its last renewal, the others from when they first saw it
/// (C. Gray and D. Cheriton, Leases: An Efficient Fault-Tolerant Mechanism
/// for Distributed File Cache Consistency, SOSP 1989). Pure; one thread;
/// `now` never goes back.
class lease_keeper
{
public:
    lease_keeper(core::instance_id self, lease_settings settings);

    /// The platform, or a peer, told this version; older ones are ignored.
    void seen(absl::Time now, const lease& value, std::uint64_t version);
    /// The last write took effect.
    void written(std::uint64_t version);
    /// The last write did not take effect, or may not have.
    void write_failed(absl::Time now);

    /// The write that is due, to take or renew the lease; nothing while one is
    /// under way.
    [[nodiscard]] std::optional<write_lease> due(absl::Time now);
    /// The write that frees the lease, when it is held.
    [[nodiscard]] std::optional<write_lease> release(absl::Time now);

    [[nodiscard]] bool is_held(absl::Time now) const;
    /// When it ends unless it is renewed.
    [[nodiscard]] absl::Time held_until() const noexcept
    {
        return held_until_;
    }
    /// When `due` may have something to give.
    [[nodiscard]] absl::Time next_due() const;
    /// Fencing number of this holder; 0 before it held the lease.
    [[nodiscard]] std::uint64_t fencing_number() const noexcept
    {
        return fencing_number_;
    }

private:
    [[nodiscard]] write_lease begin_write(absl::Time now, const lease& value);
    [[nodiscard]] bool is_free() const;

    core::instance_id self_;
    lease_settings settings_;
    lease seen_;
    std::uint64_t version_ = 0;
    /// When `version_` was first seen.
    absl::Time seen_at_ = absl::InfinitePast();
    /// Set while a write is under way.
    std::optional<lease> pending_;
    absl::Time sent_at_ = absl::InfinitePast();
    absl::Time retry_at_ = absl::InfinitePast();
    absl::Time held_until_ = absl::InfinitePast();
    std::uint64_t fencing_number_ = 0;
};

} // namespace oriolefall::move

#endif

#ifndef ORIOLEFALL_LEASING_LEASE_HPP
#define ORIOLEFALL_LEASING_LEASE_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace oriolefall::leasing {

/// A lease as it is stored on the platform.
struct lease
{
    /// Empty: the lease is free.
    core::instance_id holder;
    /// Increases with each holder; sent with every command.
    std::uint64_t fencing_number = 0;
    auto operator<=>(const lease&) const = default;
};

/// Version of a stored lease. A store that was restored from a copy goes on
/// with a higher epoch and an earlier revision.
struct lease_version
{
    std::uint64_t epoch = 0;
    /// 0: the lease does not exist.
    std::uint64_t revision = 0;
    auto operator<=>(const lease_version&) const = default;
};

/// Replace the lease if it still has the expected version; 0: create it if it
/// does not exist.
struct write_lease
{
    leasing::lease lease;
    /// Revision within `epoch`.
    std::uint64_t expected_version = 0;
    std::uint64_t epoch = 0;
    auto operator<=>(const write_lease&) const = default;
};

/// Where fencing numbers come from.
enum class fencing_source : std::uint8_t
{
    /// Counted up from the stored number. Falls when the store is restored.
    stored_number,
    /// `epoch << 32 | revision + 1` of the version that the acquiring write
    /// replaces. The stored number is not relied on, as a write of an earlier
    /// epoch that is executed late may have put an old one there.
    replaced_version
};

struct lease_settings
{
    /// How long a lease lasts after its last renewal was sent.
    absl::Duration duration = absl::Seconds(10);
    /// Subtracted from the duration by the holder and added to it by the
    /// others, to allow for clocks that run at different rates.
    absl::Duration margin = absl::Seconds(1);
    /// With `replaced_version`, the manager also waits out the holders of an
    /// earlier epoch or process, and its own last lease.
    fencing_source fencing = fencing_source::stored_number;
    std::strong_ordering operator<=>(const lease_settings&) const = default;
};

/// Acquires, renews and releases a lease for one instance. Clocks need not be
/// synchronized: a holder counts the duration from when it sent its last
/// renewal, the others from when they first received it (C. Gray and
/// D. Cheriton, Leases: An Efficient Fault-Tolerant Mechanism for Distributed
/// File Cache Consistency, SOSP 1989). Pure; for use by one thread. `now` must
/// not decrease from one call to the next.
class lease_manager
{
public:
    lease_manager(core::instance_id self, lease_settings settings);

    /// A version of the lease was received from the platform or a peer; older
    /// versions are ignored.
    void on_received(absl::Time now, const lease& value, std::uint64_t version);
    void on_received(absl::Time now, const lease& value, lease_version version);
    /// The store has no lease.
    void on_absent(absl::Time now, std::uint64_t epoch);
    /// The last write was applied.
    void on_write_applied(std::uint64_t version);
    /// The same; an answer of another epoch than that of the write does not
    /// show that it was applied to the expected version.
    void on_write_applied(absl::Time now, lease_version version);
    /// The last write was not applied, or its result is unknown.
    void on_write_failed(absl::Time now);

    /// The write that is due to acquire or renew the lease; nullopt when none
    /// is due or a write is in progress.
    [[nodiscard]] std::optional<write_lease> due_write(absl::Time now);
    /// The write that releases the lease; nullopt when it is not held or a
    /// write is in progress.
    [[nodiscard]] std::optional<write_lease> release(absl::Time now);

    [[nodiscard]] bool is_held(absl::Time now) const;
    /// Whether a write is in progress.
    [[nodiscard]] bool is_writing() const noexcept
    {
        return pending_.has_value();
    }
    /// When the lease expires unless it is renewed.
    [[nodiscard]] absl::Time held_until() const noexcept
    {
        return held_until_;
    }
    /// The earliest time at which `due_write` may return a write.
    [[nodiscard]] absl::Time next_write_at() const;
    /// Fencing number of the last lease that this instance held; 0: none yet.
    [[nodiscard]] std::uint64_t fencing_number() const noexcept
    {
        return fencing_number_;
    }

private:
    /// A write in progress.
    struct pending_write
    {
        lease value;
        std::uint64_t epoch = 0;
    };
    [[nodiscard]] write_lease begin_write(absl::Time now, const lease& value);
    [[nodiscard]] write_lease begin_acquisition(absl::Time now);
    [[nodiscard]] bool is_free() const;
    [[nodiscard]] bool uses_epochs() const;
    /// Whether the stored value was written in the current epoch.
    [[nodiscard]] bool is_value_of_epoch() const;
    /// Whether a lease that ends at `held_until_` was acquired and not lost.
    [[nodiscard]] bool was_holder() const;
    /// Time for which others wait after they received a version.
    [[nodiscard]] absl::Duration takeover_time() const;
    /// Waits out whoever held the lease in an earlier epoch, or an earlier
    /// process of this instance.
    void note_epoch(absl::Time now, std::uint64_t epoch);
    [[nodiscard]] absl::Time acquisition_time() const;

    core::instance_id self_;
    lease_settings settings_;
    /// The newest known lease.
    lease current_;
    lease_version version_;
    /// Whether an answer of the store was received.
    bool is_version_known_ = false;
    /// When `version_` was first received, or sent by this instance.
    absl::Time received_at_ = absl::InfinitePast();
    /// Set while a write is in progress.
    std::optional<pending_write> pending_;
    absl::Time sent_at_ = absl::InfinitePast();
    absl::Time retry_at_ = absl::InfinitePast();
    absl::Time held_until_ = absl::InfinitePast();
    /// No acquisition before, whatever the stored lease says.
    absl::Time epoch_wait_until_ = absl::InfinitePast();
    /// End of the time in which this instance acted as the holder.
    absl::Time acted_until_ = absl::InfinitePast();
    std::uint64_t fencing_number_ = 0;
};

} // namespace oriolefall::leasing

#endif

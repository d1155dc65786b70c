#ifndef ORIOLEFALL_SINGLETON_LEASE_CLIENT_HPP
#define ORIOLEFALL_SINGLETON_LEASE_CLIENT_HPP

#include "oriolefall/core/clock.hpp"
#include "oriolefall/leasing/lease.hpp"
#include "oriolefall/singleton/duty_protocol.hpp"
#include "oriolefall/singleton/singleton_settings.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace oriolefall::singleton {

struct lease_client_hooks
{
    /// Monotonic, counts suspended time.
    core::clock_hook clock;
    /// A number from 0 to 1.
    std::function<double()> random;
    /// A call to the store has ended; `step` is due.
    std::function<void()> on_call_ended;
    /// The store has answered in this epoch. May be empty.
    std::function<void(std::uint64_t epoch)> on_epoch;
};

/// Keeps the lease of the duties in the store: one call at a time. Called on
/// the thread of the duties.
class lease_client
{
public:
    /// `protocol` has to outlive this object.
    lease_client(lease_client_settings settings, const duty_protocol& protocol,
                 std::shared_ptr<follow::store_connection> connection,
                 lease_client_hooks hooks);

    /// Only a candidate acquires or renews the lease.
    void set_candidate(bool is_candidate);
    [[nodiscard]] bool is_candidate() const noexcept
    {
        return is_candidate_;
    }
    [[nodiscard]] const leasing::lease_manager& lease() const noexcept
    {
        return lease_;
    }
    /// Starts the call to the store that is due. `may_release`: whether an
    /// instance that is no candidate may release the lease that it holds.
    void step(absl::Time now, bool may_release);
    /// Earliest time at which `step` may have something to do.
    [[nodiscard]] absl::Time next_at(absl::Time now) const;

private:
    void read();
    void write(const leasing::write_lease& value);
    void on_read(const follow::store_result& result);
    void on_written(const leasing::write_lease& written,
                    const follow::store_result& result);
    /// Takes the state of the lease from the answer; false if it has none.
    [[nodiscard]] bool take(absl::Time now, const follow::store_answer& answer);
    void plan_read(absl::Time now);
    /// Version that an answer names; revision 0: written, but not named.
    [[nodiscard]] std::optional<leasing::lease_version>
    written_version(const follow::store_result& result) const;

    lease_client_settings settings_;
    const duty_protocol& protocol_;
    std::shared_ptr<follow::store_connection> connection_;
    lease_client_hooks hooks_;
    leasing::lease_manager lease_;
    bool is_candidate_ = false;
    bool is_calling_ = false;
    /// The stored lease is unknown, or may have changed by a call without an
    /// answer.
    bool needs_read_ = true;
    /// An executed write whose answer did not name the revision.
    std::optional<leasing::write_lease> unconfirmed_;
    absl::Time read_at_ = absl::InfinitePast();
};

} // namespace oriolefall::singleton

#endif

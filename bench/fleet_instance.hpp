#ifndef ORIOLEFALL_BENCH_FLEET_INSTANCE_HPP
#define ORIOLEFALL_BENCH_FLEET_INSTANCE_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/daemon/settings_reader.hpp"
#include "oriolefall/objects/client.hpp"
#include "oriolefall/peer/control_duty.hpp"

#include <absl/time/time.h>

#include <atomic>
#include <compare>
#include <cstdint>

namespace oriolefall::bench {

/// A settings object came into force at an instance.
struct change_in_force
{
    std::size_t instance = 0;
    std::uint64_t version = 0;
    absl::Time at;
    std::strong_ordering operator<=>(const change_in_force&) const = default;
};

/// What all instances of a measured fleet share.
struct fleet_shared
{
    core::endpoint platform;
    /// Calls made to the platform by instances.
    std::atomic<std::uint64_t> platform_calls{0};
    core::bounded_ring<change_in_force> changes{std::size_t{1} << 20};
};

/// The control part of one instance: its membership, its links to peers and,
/// while it has that role, its reader of the platform.
class fleet_instance
{
public:
    fleet_instance(std::size_t number, peer::control_settings settings,
                   fleet_shared& shared);
    ~fleet_instance();
    fleet_instance(const fleet_instance&) = delete;
    fleet_instance& operator=(const fleet_instance&) = delete;

    bool start();
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] peer::link_counts counts() const;
    /// Live members that this instance knows, itself included. Any thread.
    [[nodiscard]] std::size_t live_members() const;
    [[nodiscard]] bool is_reader() const;

private:
    peer::control_hooks hooks();

    std::size_t number_;
    fleet_shared& shared_;
    std::atomic<std::size_t> live_members_{0};
    std::atomic<bool> is_reader_{false};
    peer::control_duty control_;
    daemon::settings_reader reader_;
};

} // namespace oriolefall::bench

#endif

#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_SCHEDULE_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_SCHEDULE_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolefall::soak {

/// What is done to the system under test.
enum class disruption : unsigned char
{
    // Planned work.
    stop_instance,
    hang_up,
    move_route,
    drain_server,
    // Faults of instances.
    kill_instance,
    kill_all,
    pause_instance,
    // Faults of the store.
    store_refuses,
    store_too_many,
    store_silent,
    store_resets,
    store_late_writes,
    store_forgets,
    // Faults of the links of one instance to the store.
    store_link_delayed,
    store_link_reset,
    store_link_silenced,
    store_link_cut,
    store_link_cut_back,
    // Faults of backend servers and of the links to them.
    server_crashes,
    server_hangs,
    server_grey,
    server_slow,
    server_loses_answers,
    server_garbles,
    server_link_delayed,
    server_link_reset,
    server_link_silenced,
    server_link_cut_back,
    // Faults of the links of callers to one instance.
    caller_link_delayed,
    caller_link_reset,
    caller_link_silenced,
    caller_link_cut_forth,
    // What backend servers say of themselves.
    server_leaves,
    server_wants_quiet,
    /// The store comes back from a copy.
    store_restored
};

/// One disruption of a soak.
struct step
{
    /// Since the start of traffic.
    std::chrono::milliseconds at{};
    disruption what{};
    /// Number of the instance or server that it is done to, to be taken modulo
    /// their count.
    unsigned target = 0;
    std::chrono::milliseconds lasts{};
    auto operator<=>(const step&) const = default;
};

/// The same for each seed. Every third seed has planned work only; the others
/// mix everything, in series and overlapping. What servers say of themselves
/// comes with all seeds, a restore of the store with half of the mixed ones.
std::vector<step> make_schedule(std::uint64_t seed,
                                std::chrono::milliseconds length);
bool is_planned_only(std::uint64_t seed);
bool is_planned(disruption what);
std::string to_text(disruption what);

} // namespace oriolefall::soak

#endif

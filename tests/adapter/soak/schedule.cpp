#include "tests/adapter/soak/schedule.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace oriolefall::soak {

namespace {

constexpr std::size_t kinds = 32;
constexpr std::size_t notice_kinds = 2;
constexpr std::size_t restore_kinds = 1;
constexpr std::size_t planned_kinds = 4;
const std::array<const char*, kinds + notice_kinds + restore_kinds> names{
    "stop_instance",        "hang_up",
    "move_route",           "drain_server",
    "kill_instance",        "kill_all",
    "pause_instance",       "store_refuses",
    "store_too_many",       "store_silent",
    "store_resets",         "store_late_writes",
    "store_forgets",        "store_link_delayed",
    "store_link_reset",     "store_link_silenced",
    "store_link_cut",       "store_link_cut_back",
    "server_crashes",       "server_hangs",
    "server_grey",          "server_slow",
    "server_loses_answers", "server_garbles",
    "server_link_delayed",  "server_link_reset",
    "server_link_silenced", "server_link_cut_back",
    "caller_link_delayed",  "caller_link_reset",
    "caller_link_silenced", "caller_link_cut_forth",
    "server_leaves",        "server_wants_quiet",
    "store_restored"};

constexpr unsigned targets = 60;
constexpr std::uint64_t least_steps = 3;
constexpr std::uint64_t step_spread = 8;
constexpr std::uint64_t shortest_ms = 300;
constexpr std::uint64_t time_spread_ms = 3000;
constexpr std::uint64_t planned_each = 3;
constexpr std::uint64_t most_notices = 3;
constexpr std::uint64_t restored_each = 2;

/// `count` steps of kinds from `first` on.
std::vector<step> make_steps(std::mt19937_64& random, std::size_t count,
                             std::size_t first, std::size_t choices,
                             std::chrono::milliseconds length)
{
    std::vector<step> steps(count);
    for (step& each : steps) {
        each.at = std::chrono::milliseconds(
            random() % static_cast<std::uint64_t>(length.count()));
        each.what = static_cast<disruption>(first + random() % choices);
        each.target = static_cast<unsigned>(random() % targets);
        each.lasts =
            std::chrono::milliseconds(shortest_ms + random() % time_spread_ms);
    }
    return steps;
}

} // namespace

bool is_planned_only(std::uint64_t seed)
{
    return seed % planned_each == 0;
}

bool is_planned(disruption what)
{
    return static_cast<std::size_t>(what) < planned_kinds ||
           what == disruption::server_leaves;
}

std::string to_text(disruption what)
{
    return names.at(static_cast<std::size_t>(what));
}

std::vector<step> make_schedule(std::uint64_t seed,
                                std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    const std::size_t choices = is_planned_only(seed) ? planned_kinds : kinds;
    const std::size_t count = least_steps + random() % step_spread;
    std::vector<step> steps = make_steps(random, count, 0, choices, length);
    // A generator of their own leaves the steps above as they were.
    std::mt19937_64 notices_random(~seed);
    const std::size_t notice_choices = is_planned_only(seed) ? 1 : notice_kinds;
    const auto notices =
        make_steps(notices_random, 1 + notices_random() % most_notices, kinds,
                   notice_choices, length);
    steps.insert(steps.end(), notices.begin(), notices.end());
    if (!is_planned_only(seed) && seed % restored_each == 0) {
        std::mt19937_64 restore_random(seed * restored_each + 1);
        const auto restores = make_steps(
            restore_random, 1, kinds + notice_kinds, restore_kinds, length);
        steps.insert(steps.end(), restores.begin(), restores.end());
    }
    std::ranges::sort(steps);
    return steps;
}

} // namespace oriolefall::soak

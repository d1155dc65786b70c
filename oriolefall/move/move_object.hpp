#ifndef ORIOLEFALL_MOVE_MOVE_OBJECT_HPP
#define ORIOLEFALL_MOVE_MOVE_OBJECT_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/tier.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::move {

/// The phase of a move. Phases follow each other in this order, except that
/// any phase before `done` may be followed by `aborted`.
enum class phase : std::uint8_t
{
    accepted, ///< leaving servers get no new work from here on
    warming,  ///< arriving servers load their models
    shifting, ///< arriving servers use a growing share of their slots
    draining, ///< leaving servers finish their running work
    done,
    aborted ///< leaving servers get work again, arriving ones get none
};

/// What the operator asks for.
enum class requested_state : std::uint8_t
{
    run,
    pause,
    abort
};

/// Why a step was taken.
enum class step_cause : std::uint8_t
{
    created,
    begun,
    models_loaded,
    attainment_held,
    attainment_missed,
    all_shifted,
    all_drained,
    operator_paused,
    operator_resumed,
    operator_aborted
};

/// The service level and priority of a class during the move.
struct class_level
{
    core::class_name name;
    core::tier tier = core::tier::standard;
    /// Lower values are served first within the tier.
    std::uint32_t priority = 0;
    auto operator<=>(const class_level&) const = default;
};

/// A backend server that takes over traffic.
struct arriving_server
{
    core::backend_server_id id;
    /// Models that it must load before it gets traffic.
    std::vector<core::model_name> models;
    bool checks_fencing = false;
    auto operator<=>(const arriving_server&) const = default;
};

/// One step of a move: the decision, its cause, and the attainment on which it
/// was based.
struct step_record
{
    /// Wall-clock time.
    absl::Time at = absl::UnixEpoch();
    move::phase phase = phase::accepted;
    /// Percentage of their slots that arriving servers use, 0 to 100.
    std::uint32_t percent = 0;
    step_cause cause = step_cause::created;
    /// Class with the lowest attainment, and that attainment, 0 to 1; empty
    /// where the step was not based on attainment.
    core::class_name lowest_class;
    double attainment = 0.0;
    /// Identifies the lease holder that took the step.
    std::uint64_t fencing_number = 0;
    std::partial_ordering operator<=>(const step_record&) const = default;
};

/// A move as it is stored on the platform.
struct move_object
{
    core::move_name name;
    /// Team that created it.
    core::team_name team;
    std::vector<class_level> classes;
    std::vector<core::backend_server_id> leaving;
    std::vector<arriving_server> arriving;
    move::requested_state requested_state = requested_state::run;
    move::phase phase = phase::accepted;
    /// True: no step is taken until the operator resumes the move.
    bool paused = false;
    std::uint32_t percent = 0;
    /// The latest steps, oldest first.
    std::vector<step_record> history;
    std::partial_ordering operator<=>(const move_object&) const = default;
};

/// Maximum number of steps in `move_object::history`.
inline constexpr std::size_t max_history_steps = 500;

[[nodiscard]] std::string_view to_string(phase value);
[[nodiscard]] std::string_view to_string(requested_state value);
[[nodiscard]] std::string_view to_string(step_cause value);
[[nodiscard]] std::optional<phase> parse_phase(std::string_view name);
[[nodiscard]] std::optional<requested_state>
parse_requested_state(std::string_view name);
[[nodiscard]] std::optional<step_cause> parse_step_cause(std::string_view name);

/// True when the move is done or aborted; no further step will be taken.
[[nodiscard]] bool is_ended(const move_object& value);

/// True when a move may go from one phase to the other in one step.
[[nodiscard]] bool may_follow(phase from, phase to);

} // namespace oriolefall::move

#endif

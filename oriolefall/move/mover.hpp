#ifndef ORIOLEFALL_MOVE_MOVER_HPP
#define ORIOLEFALL_MOVE_MOVER_HPP

#include "oriolefall/leasing/lease.hpp"
#include "oriolefall/move/attainment.hpp"
#include "oriolefall/move/event.hpp"
#include "oriolefall/move/mover_settings.hpp"
#include "oriolefall/move/warmup.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::move {

/// What a move waits for.
enum class wait_cause : std::uint8_t
{
    nothing,    ///< its next step is due, or it has ended
    lease,      ///< another instance holds it, or the platform is unavailable
    platform,   ///< a write has not been confirmed
    operators,  ///< an operator paused it
    models,     ///< arriving servers are loading
    hold,       ///< the minimum time at one percentage has not passed
    answers,    ///< there are too few answers to evaluate attainment
    attainment, ///< a class misses its target; the percentage was decreased
    drain       ///< leaving servers still run work
};

/// The name used in answers and logs.
[[nodiscard]] std::string_view to_string(wait_cause value);

struct wait_status
{
    wait_cause cause = wait_cause::nothing;
    /// Servers, models or classes that it waits for.
    std::vector<std::string> names;
    auto operator<=>(const wait_status&) const = default;
};

/// Carries out one move from acceptance to its end. Every instance runs one:
/// the instance that holds the lease takes the steps, the others follow. A
/// state machine without input or output or a clock. For use by one thread.
class mover
{
public:
    mover(core::instance_id self, mover_settings settings);

    /// Processes one event at `now`, which must not decrease from one call to
    /// the next, and appends the resulting actions to `out`.
    void step(absl::Time now, const event& event, std::vector<action>& out);

    /// The latest time at which a `tick` must be given.
    [[nodiscard]] absl::Time next_tick(absl::Time now) const;

    /// The newest known version; nullopt before the first one was received.
    [[nodiscard]] const std::optional<move_object>& object() const noexcept
    {
        return object_;
    }
    /// Version of `object`; 0 before the first one was received.
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return version_;
    }
    [[nodiscard]] bool is_holder(absl::Time now) const;
    /// What the move waits for, for display to the operator.
    [[nodiscard]] wait_status current_wait(absl::Time now) const;

private:
    void on(absl::Time now, const move_received& event);
    void on(absl::Time now, const lease_received& event);
    void on(absl::Time now, const lease_write_ended& event);
    void on(absl::Time now, const move_write_ended& event);
    void on(absl::Time now, const command_answered& event);
    void on(absl::Time now, const attainment_reported& event);
    void on(absl::Time now, const server_load_reported& event);
    void on(absl::Time now, const tick& event);

    void set_object(absl::Time now, const move_object& object,
                    std::uint64_t version);
    void advance(absl::Time now, std::vector<action>& out);
    void begin_term(absl::Time now);
    /// Returns true when the operator's request resulted in a step.
    [[nodiscard]] bool apply_requested_state(absl::Time now,
                                             std::vector<action>& out);
    void advance_phase(absl::Time now, std::vector<action>& out);
    void advance_shift(absl::Time now, std::vector<action>& out);
    void increase_percent(absl::Time now, const lowest_attainment& lowest,
                          std::vector<action>& out);
    void decrease_percent(absl::Time now, const lowest_attainment& lowest,
                          std::vector<action>& out);
    /// Requests the write of the next version of the move, with a record of
    /// the step and the attainment on which it is based.
    void store(absl::Time now, move_object next, step_cause cause,
               const std::optional<lowest_attainment>& lowest,
               std::vector<action>& out);
    [[nodiscard]] std::uint32_t next_percent() const;
    [[nodiscard]] std::uint32_t previous_percent() const;
    [[nodiscard]] std::vector<std::string> undrained_servers() const;
    [[nodiscard]] wait_status current_shift_wait(absl::Time now) const;

    core::instance_id self_;
    mover_settings settings_;
    leasing::lease_manager lease_;
    std::optional<move_object> object_;
    std::uint64_t version_ = 0;
    /// Set while a write of the move is in progress.
    std::optional<move_object> pending_;
    absl::Time retry_at_ = absl::InfinitePast();
    /// Fencing number of the term of this holder that has begun; 0: none.
    std::uint64_t term_ = 0;
    /// Servers that do not check fencing numbers get no command before this.
    absl::Time unfenced_commands_from_ = absl::InfinitePast();
    absl::Time step_started_at_ = absl::InfinitePast();
    warmup warmup_;
    attainment_window attainment_;
    /// Latest reported load of leaving servers, since this step began.
    std::map<core::backend_server_id, std::uint64_t> running_;
};

} // namespace oriolefall::move

#endif

#ifndef ORIOLEFALL_MOVE_MOVER_HPP
#define ORIOLEFALL_MOVE_MOVER_HPP

#include "oriolefall/move/attainment.hpp"
#include "oriolefall/move/event.hpp"
#include "oriolefall/move/lease.hpp"
#include "oriolefall/move/mover_settings.hpp"
#include "oriolefall/move/warmup.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::move {

/// What a move needs before it can go on.
enum class wait_cause : std::uint8_t
{
    nothing,    ///< it goes on by itself, or has ended
    lease,      ///< another instance holds it, or the platform is away
    platform,   ///< a write has not been confirmed
    operators,  ///< an operator paused it
    models,     ///< arriving servers are loading
    hold,       ///< the shortest time at one share
    answers,    ///< too few answers to judge attainment
    attainment, ///< a class misses its target; the share was turned back
    drain       ///< leaving servers still run work
};

/// The name used in answers and logs.
[[nodiscard]] std::string_view to_string(wait_cause value);

struct waiting
{
    wait_cause cause = wait_cause::nothing;
    /// Servers, models or classes that it waits for.
    std::vector<std::string> names;
    auto operator<=>(const waiting&) const = default;
};

/// Carries one move from acceptance to its end, at every instance alike: the
/// one that holds the lease takes the steps, the others follow. A state
/// machine: no input or output, no clock. One thread.
class mover
{
public:
    mover(core::instance_id self, mover_settings settings);

    /// Takes one event at `now`, which never goes back, and adds the resulting
    /// actions to `out`.
    void step(absl::Time now, const event& event, std::vector<action>& out);

    /// When a `tick` is due at the latest.
    [[nodiscard]] absl::Time next_tick(absl::Time now) const;

    /// The newest version known; nothing before the first was seen.
    [[nodiscard]] const std::optional<move_object>& object() const noexcept
    {
        return object_;
    }
    /// Version of `object`; 0 before the first was seen.
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return version_;
    }
    [[nodiscard]] bool is_holder(absl::Time now) const;
    /// For the operator who asks why nothing happens.
    [[nodiscard]] waiting waits_for(absl::Time now) const;

private:
    void on(absl::Time now, const move_seen& event);
    void on(absl::Time now, const lease_seen& event);
    void on(absl::Time now, const lease_write_ended& event);
    void on(absl::Time now, const move_write_ended& event);
    void on(absl::Time now, const order_answered& event);
    void on(absl::Time now, const figures_reported& event);
    void on(absl::Time now, const server_load_seen& event);
    void on(absl::Time now, const tick& event);

    void keep(absl::Time now, const move_object& object, std::uint64_t version);
    void advance(absl::Time now, std::vector<action>& out);
    void begin_term(absl::Time now);
    /// True when the operator's wish made a step.
    [[nodiscard]] bool follow_wish(absl::Time now, std::vector<action>& out);
    void advance_phase(absl::Time now, std::vector<action>& out);
    void advance_shift(absl::Time now, std::vector<action>& out);
    void shift_on(absl::Time now, const lowest_attainment& lowest,
                  std::vector<action>& out);
    void turn_back(absl::Time now, const lowest_attainment& lowest,
                   std::vector<action>& out);
    /// Asks for the next version of the move, with a record of the step and
    /// the figures that it rests on.
    void store(absl::Time now, move_object next, step_cause cause,
               const std::optional<lowest_attainment>& figures,
               std::vector<action>& out);
    [[nodiscard]] std::uint32_t next_percent() const;
    [[nodiscard]] std::uint32_t previous_percent() const;
    [[nodiscard]] std::vector<std::string> undrained() const;
    [[nodiscard]] waiting waits_in_shift(absl::Time now) const;

    core::instance_id self_;
    mover_settings settings_;
    lease_keeper lease_;
    std::optional<move_object> object_;
    std::uint64_t version_ = 0;
    /// Set while a write of the move is under way.
    std::optional<move_object> pending_;
    absl::Time retry_at_ = absl::InfinitePast();
    /// Fencing number of the term that was begun; 0: none.
    std::uint64_t term_ = 0;
    /// Servers that ignore fencing get no order before.
    absl::Time quiet_until_ = absl::InfinitePast();
    absl::Time step_at_ = absl::InfinitePast();
    warmup warmup_;
    attainment_window figures_;
    /// Work that leaving servers were last seen to run, since this phase.
    std::map<core::backend_server_id, std::uint64_t> running_;
};

} // namespace oriolefall::move

#endif

#ifndef ORIOLEFALL_MEMBERSHIP_MEMBER_TABLE_HPP
#define ORIOLEFALL_MEMBERSHIP_MEMBER_TABLE_HPP

#include "oriolefall/membership/action.hpp"
#include "oriolefall/membership/event.hpp"
#include "oriolefall/membership/failure_detector.hpp"
#include "oriolefall/membership/member_map.hpp"
#include "oriolefall/membership/membership_settings.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace oriolefall::membership {

/// What one instance knows of the fleet. A state machine: no input or output,
/// no clock, no lock; the same events at the same times give the same actions.
///
/// News is flooded over a bounded graph of links (see `choose_peers`), only
/// when something has changed. Heartbeats go to linked peers only and carry a
/// digest of the table; tables that stay unlike compare bucket digests and
/// exchange the buckets that differ. Failure detection: `failure_detector`;
/// what it suspects has `dead_after` to contradict with a higher incarnation,
/// which nobody but the instance itself ever raises. One thread at a time.
class member_table
{
public:
    /// `self`: this instance, with an incarnation above that of its earlier
    /// starts; milliseconds since the epoch at its start will do.
    member_table(const membership_settings& settings, member self);

    /// Takes one event at `now` and adds the resulting actions to `out`.
    /// `now` never goes back from one call to the next.
    void step(absl::Time now, const event& event, std::vector<action>& out);

    /// When a `tick` is due at the latest.
    [[nodiscard]] absl::Time next_tick() const;
    /// All known members, this one and the dead included, sorted by id.
    [[nodiscard]] std::vector<member> members() const;
    [[nodiscard]] const member& self() const;
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct link
    {
        /// Heartbeats in a row whose digest differed from the own one.
        unsigned mismatches = 0;
    };

    void on(absl::Time now, const heartbeat_received& event,
            std::vector<action>& out);
    void on(absl::Time now, const news_received& event,
            std::vector<action>& out);
    void on(absl::Time now, const buckets_received& event,
            std::vector<action>& out);
    void on(absl::Time now, const link_opened& event, std::vector<action>& out);
    void on(absl::Time now, const link_closed& event, std::vector<action>& out);
    void on(absl::Time now, const platform_listed& event,
            std::vector<action>& out);
    void on(absl::Time now, const settings_applied& event,
            std::vector<action>& out);
    void on(absl::Time now, const leave_requested& event,
            std::vector<action>& out);
    void on(absl::Time now, const tick& event, std::vector<action>& out);

    void excuse_own_pause(absl::Time now);
    void merge(absl::Time now, const member& news);
    void contradict(absl::Time now, const member& news);
    void change_self(absl::Time now, member next);
    void suspect_silent(absl::Time now);
    void declare_dead(absl::Time now);
    void declare(absl::Time now, member value, member_state state);
    void forget(absl::Time now, std::vector<action>& out);
    void compare_digest(const core::instance_id& peer, std::uint64_t digest,
                        std::vector<action>& out);
    void send_heartbeats(std::vector<action>& out);
    void tell_changes(const core::instance_id& source,
                      std::vector<action>& out);
    void tell(const core::instance_id& to, const std::vector<member>& news,
              std::vector<action>& out) const;
    void choose(absl::Time now, std::vector<action>& out);
    [[nodiscard]] std::vector<core::instance_id>
    all_others(const std::vector<member>& known) const;
    [[nodiscard]] std::vector<core::instance_id>
    chosen_among(const std::vector<member>& known) const;
    [[nodiscard]] std::vector<member>
    probed(const std::vector<member>& known) const;

    membership_settings settings_;
    member self_;
    member_map members_;
    failure_detector detector_;
    std::map<core::instance_id, link> links_;
    std::vector<member> peers_;
    /// Changes of the step under way.
    std::vector<member> changed_;
    bool choice_is_old_ = true;
    std::int64_t probe_turn_ = 0;
    absl::Time last_step_ = absl::InfinitePast();
    absl::Time last_heartbeat_ = absl::InfinitePast();
};

} // namespace oriolefall::membership

#endif

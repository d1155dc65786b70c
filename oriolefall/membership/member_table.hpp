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

/// One instance's view of the fleet. A state machine without input or output,
/// clock or lock: the same events at the same times give the same actions.
///
/// Member updates are flooded over a bounded graph of links (see
/// `choose_peers`), and only when something has changed. Heartbeats go to
/// linked peers only and carry a digest of the table; when the digests of two
/// peers keep differing, they compare bucket digests and exchange the buckets
/// that differ. `failure_detector` decides which peers to suspect; a suspected
/// instance has `suspicion_timeout` to refute with a higher incarnation, which
/// only the instance itself ever raises. For use by one thread at a time.
class member_table
{
public:
    /// `self`: this instance, with a higher incarnation than at its earlier
    /// starts. The start time in milliseconds since the epoch is suitable.
    member_table(const membership_settings& settings, member self);

    /// Processes one event at `now` and appends the resulting actions to
    /// `out`. `now` must not decrease from one call to the next.
    void step(absl::Time now, const event& event, std::vector<action>& out);

    /// The latest time at which a `tick` must be given.
    [[nodiscard]] absl::Time next_tick() const;
    /// All known members, including this one and the dead, sorted by id.
    [[nodiscard]] std::vector<member> members() const;
    [[nodiscard]] const member& self() const;
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct link
    {
        /// Consecutive heartbeats whose digest differed from this table's.
        unsigned mismatches = 0;
    };

    void on(absl::Time now, const heartbeat_received& event,
            std::vector<action>& out);
    void on(absl::Time now, const member_update_received& event,
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

    void discount_own_pause(absl::Time now);
    void merge(absl::Time now, const member& received);
    void refute(absl::Time now, const member& received);
    void update_self(absl::Time now, member next);
    void suspect_overdue_peers(absl::Time now);
    void declare_dead(absl::Time now);
    void set_state(absl::Time now, member value, member_state state);
    void remove_dead(absl::Time now, std::vector<action>& out);
    void compare_digest(const core::instance_id& peer, std::uint64_t digest,
                        std::vector<action>& out);
    void send_heartbeats(std::vector<action>& out);
    void send_changes(const core::instance_id& source,
                      std::vector<action>& out);
    void send_members(const core::instance_id& to,
                      const std::vector<member>& members,
                      std::vector<action>& out) const;
    void update_peers(absl::Time now, std::vector<action>& out);
    [[nodiscard]] std::vector<core::instance_id>
    all_others(const std::vector<member>& known) const;
    [[nodiscard]] std::vector<core::instance_id>
    monitored_peers(const std::vector<member>& known) const;
    [[nodiscard]] std::vector<member>
    probe_target(const std::vector<member>& known) const;

    membership_settings settings_;
    member self_;
    member_map members_;
    failure_detector detector_;
    std::map<core::instance_id, link> links_;
    std::vector<member> peers_;
    /// Members changed by the event being processed.
    std::vector<member> changed_;
    bool is_choice_outdated_ = true;
    std::int64_t probe_round_ = 0;
    absl::Time last_step_at_ = absl::InfinitePast();
    absl::Time last_heartbeat_at_ = absl::InfinitePast();
};

} // namespace oriolefall::membership

#endif

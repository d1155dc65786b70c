#ifndef ORIOLEFALL_TESTS_MEMBERSHIP_MEMBERSHIP_SIMULATION_HPP
#define ORIOLEFALL_TESTS_MEMBERSHIP_MEMBERSHIP_SIMULATION_HPP

#include "fleet.hpp"

#include "oriolefall/membership/member_table.hpp"

#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace oriolefall::tests {

/// Simulates a fleet of member tables whose links lose, delay and reorder
/// messages, with a clock of its own.
class membership_simulation
{
public:
    membership_simulation(std::vector<membership::member> fleet, unsigned seed,
                          membership::membership_settings settings = {});

    /// Advances the clock by `duration` in steps of half a second.
    void run(absl::Duration duration);
    /// Sets the fraction of messages lost, 0 to 1, and the longest delay of the
    /// others.
    void set_loss_and_delay(double loss, absl::Duration max_delay);
    /// Instances on different sides can't reach each other.
    void partition(const std::vector<int>& side_of_instance);
    void pause(std::size_t instance, bool is_paused);
    /// Stops the instance without an announcement.
    void crash(std::size_t instance);
    /// Starts the instance again with a higher incarnation, knowing only
    /// `seeds`.
    void restart(std::size_t instance,
                 const std::vector<membership::member>& seeds);
    void apply(std::size_t instance, const membership::event& event);

    [[nodiscard]] const membership::member_table&
    table(std::size_t instance) const;
    [[nodiscard]] std::size_t size() const;
    /// True when all instances that have not crashed have equal table digests.
    [[nodiscard]] bool tables_agree() const;
    [[nodiscard]] membership::member_state
    state_of(std::size_t instance, const core::instance_id& id) const;
    /// How often a member's incarnation or state went back at some instance.
    [[nodiscard]] std::size_t regressions() const;

private:
    struct node
    {
        membership::member_table table;
        std::set<std::size_t> chosen_peers;
        std::map<core::instance_id, membership::member> last_members;
        int side = 0;
        bool is_paused = false;
        bool is_crashed = false;
    };
    struct message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        membership::event event;
    };

    void step(std::size_t instance, const membership::event& event);
    void carry_out(std::size_t instance, const membership::action& action);
    void send(std::size_t from, const core::instance_id& to,
              membership::event event);
    void deliver();
    void update_links();
    void count_regressions(node& node);
    [[nodiscard]] bool can_reach(std::size_t first, std::size_t second) const;

    membership::membership_settings settings_;
    std::mt19937 random_;
    absl::Time now_ = absl::UnixEpoch();
    double loss_ = 0.0;
    absl::Duration max_delay_ = absl::ZeroDuration();
    std::map<core::instance_id, std::size_t> index_;
    std::vector<node> nodes_;
    std::multimap<absl::Time, message> in_transit_;
    std::set<std::pair<std::size_t, std::size_t>> links_;
    std::size_t regressions_ = 0;
};

} // namespace oriolefall::tests

#endif

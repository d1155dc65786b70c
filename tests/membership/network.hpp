#ifndef ORIOLEFALL_TESTS_MEMBERSHIP_NETWORK_HPP
#define ORIOLEFALL_TESTS_MEMBERSHIP_NETWORK_HPP

#include "fleet.hpp"

#include "oriolefall/membership/member_table.hpp"

#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace oriolefall::tests {

/// Member tables joined by links that lose, delay and reorder, under a clock
/// that is moved by hand.
class network
{
public:
    network(std::vector<membership::member> fleet, unsigned seed,
            membership::membership_settings settings = {});

    /// Lets time pass in steps of half a second.
    void run(absl::Duration time);
    /// Share of messages lost, 0 to 1, and the longest delay of the others.
    void disturb(double loss, absl::Duration longest_delay);
    /// Instances of unlike sides do not reach each other.
    void partition(const std::vector<int>& side_of_instance);
    void pause(std::size_t instance, bool paused);
    /// The instance ends without a word.
    void crash(std::size_t instance);
    /// It starts again with a higher incarnation and knows only `seeds`.
    void restart(std::size_t instance,
                 const std::vector<membership::member>& seeds);
    void give(std::size_t instance, const membership::event& event);

    [[nodiscard]] const membership::member_table&
    table(std::size_t instance) const;
    [[nodiscard]] std::size_t size() const;
    /// Every running instance holds the same values for the same members.
    [[nodiscard]] bool agrees() const;
    [[nodiscard]] membership::member_state
    state_of(std::size_t instance, const core::instance_id& id) const;
    /// Members whose incarnation or state went back at some instance.
    [[nodiscard]] std::size_t steps_back() const;

private:
    struct node
    {
        membership::member_table table;
        std::set<std::size_t> wanted;
        std::map<core::instance_id, membership::member> last;
        int side = 0;
        bool paused = false;
        bool crashed = false;
    };
    struct message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        membership::event event;
    };

    void step(std::size_t at, const membership::event& event);
    void act(std::size_t at, const membership::action& action);
    void send(std::size_t from, const core::instance_id& to,
              membership::event event);
    void deliver();
    void set_links();
    void check_progress(node& at);
    [[nodiscard]] bool reach(std::size_t one, std::size_t two) const;

    membership::membership_settings settings_;
    std::mt19937 random_;
    absl::Time now_ = absl::UnixEpoch();
    double loss_ = 0.0;
    absl::Duration longest_delay_ = absl::ZeroDuration();
    std::map<core::instance_id, std::size_t> index_;
    std::vector<node> nodes_;
    std::multimap<absl::Time, message> under_way_;
    std::set<std::pair<std::size_t, std::size_t>> links_;
    std::size_t steps_back_ = 0;
};

} // namespace oriolefall::tests

#endif

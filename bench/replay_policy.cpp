#include "bench/replay_policy.hpp"

#include "bench/replay_baseline.hpp"
#include "oriolefall/decision/decider.hpp"

#include <algorithm>
#include <memory>

namespace oriolefall::bench {

namespace {

using servers = std::vector<baseline_server*>;

/// The first server with a free slot; requests wait while there is none.
std::optional<std::size_t> first_free(const servers& all)
{
    const auto found = std::ranges::find_if(all, [](const auto* each) {
        return each->in_flight < each->server.slots;
    });
    if (found == all.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - all.begin());
}

/// The server with the fewest own calls in flight, for each of its slots.
std::optional<std::size_t> least_loaded(const servers& all)
{
    const auto load = [](const baseline_server* each) {
        return static_cast<double>(each->in_flight) / each->server.slots;
    };
    const auto found = std::ranges::min_element(all, {}, load);
    return static_cast<std::size_t>(found - all.begin());
}

baseline_choice in_turn()
{
    return [next = std::size_t{0}](const servers& all) mutable {
        return std::optional<std::size_t>(next++ % all.size());
    };
}

template <class Policy>
replay_policy wrap(std::shared_ptr<Policy> policy)
{
    return replay_policy{.step =
                             [policy](absl::Time now,
                                      const decision::event& event,
                                      std::vector<decision::action>& out) {
                                 policy->step(now, event, out);
                             },
                         .next_tick = [policy] { return policy->next_tick(); }};
}

} // namespace

std::vector<std::string> policy_names()
{
    return {"fifo", "round-robin", "least-loaded", "oriolefall"};
}

std::optional<replay_policy> make_policy(const std::string& name,
                                         const trace_header& header,
                                         std::uint64_t seed)
{
    if (name == "fifo")
        return wrap(std::make_shared<baseline_policy>(first_free));
    if (name == "round-robin")
        return wrap(std::make_shared<baseline_policy>(in_turn()));
    if (name == "least-loaded")
        return wrap(std::make_shared<baseline_policy>(least_loaded));
    if (name != "oriolefall")
        return std::nullopt;
    decision::decider_settings settings;
    settings.location = header.location;
    settings.seed = seed;
    return wrap(std::make_shared<decision::decider>(settings));
}

} // namespace oriolefall::bench

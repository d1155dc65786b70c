#include "oriolefall/peer/settings_exchange.hpp"

#include <algorithm>
#include <random>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::peer;

namespace {

core::instance_id name_of(std::size_t index)
{
    return core::instance_id(std::to_string(index));
}

settings::tree_object object_of(int path, std::uint64_t version)
{
    return {"/teams/t/" + std::to_string(path), version,
            "value " + std::to_string(version)};
}

/// Simulates settings exchanges that are linked in a ring. Messages are lost
/// with a set probability and delivered in random order.
struct ring_simulation
{
    ring_simulation(std::size_t size, unsigned seed)
        : nodes(size), stored_versions(size), random(seed)
    {
        for (std::size_t index = 0; index < size; ++index) {
            nodes[index].on_peer_opened(name_of((index + 1) % size));
            nodes[(index + 1) % size].on_peer_opened(name_of(index));
        }
    }

    void execute(std::size_t index, std::vector<exchange_action>& actions)
    {
        for (exchange_action& action : actions) {
            if (auto* updated = std::get_if<object_updated>(&action)) {
                std::uint64_t& version =
                    stored_versions[index][updated->object.path];
                has_regressed |= updated->object.version <= version;
                version = updated->object.version;
                continue;
            }
            if (std::uniform_real_distribution<>(0, 1)(random) >=
                loss_probability)
                in_flight.emplace_back(
                    index, std::move(std::get<outgoing_message>(action)));
        }
        actions.clear();
    }

    void read_from_platform(std::size_t index,
                            const settings::tree_object& object)
    {
        std::vector<exchange_action> out;
        nodes[index].on_platform_read({object}, out);
        execute(index, out);
    }

    void deliver_one()
    {
        const auto picked = std::uniform_int_distribution<std::size_t>(
            0, in_flight.size() - 1)(random);
        const auto [from, sent] = in_flight[picked];
        if (std::holds_alternative<settings_answer>(sent.message))
            ++answers_delivered;
        in_flight.erase(in_flight.begin() +
                        static_cast<std::ptrdiff_t>(picked));
        const auto to = static_cast<std::size_t>(std::stoul(sent.to.value()));
        std::vector<exchange_action> out;
        if (const auto* offer = std::get_if<settings_offer>(&sent.message))
            nodes[to].on_message(now, name_of(from), *offer, out);
        if (const auto* fetch = std::get_if<settings_fetch>(&sent.message))
            nodes[to].on_message(now, name_of(from), *fetch, out);
        if (const auto* answer = std::get_if<settings_answer>(&sent.message))
            nodes[to].on_message(now, name_of(from), *answer, out);
        execute(to, out);
    }

    /// Sends one heartbeat from each node to both neighbors, then delivers all
    /// resulting messages.
    void run_round()
    {
        now += absl::Seconds(1);
        const std::size_t size = nodes.size();
        for (std::size_t index = 0; index < size; ++index) {
            std::vector<exchange_action> out;
            nodes[index].on_tick(now, out);
            for (const std::size_t from :
                 {(index + 1) % size, (index + size - 1) % size})
                nodes[index].on_heartbeat(name_of(from),
                                          nodes[from].replica().digest(), out);
            execute(index, out);
        }
        while (!in_flight.empty())
            deliver_one();
    }

    std::vector<settings_exchange> nodes;
    std::vector<std::map<std::string, std::uint64_t>> stored_versions;
    std::vector<std::pair<std::size_t, outgoing_message>> in_flight;
    std::mt19937 random;
    absl::Time now = absl::UnixEpoch();
    double loss_probability = 0.0;
    std::size_t answers_delivered = 0;
    bool has_regressed = false;
};

} // namespace

Test(settings_exchange, all_instances_converge_to_the_highest_versions)
{
    cr_assert(rc::check("spread under loss and reorder", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 12);
        ring_simulation ring(size, *rc::gen::arbitrary<unsigned>());
        ring.loss_probability = 0.4;
        std::map<std::string, std::uint64_t> highest;
        const auto changes = *rc::gen::inRange(1, 30);
        for (int i = 0; i < changes; ++i) {
            const auto object =
                object_of(*rc::gen::inRange(0, 4),
                          *rc::gen::inRange<std::uint64_t>(1, 20));
            ring.read_from_platform(*rc::gen::inRange<std::size_t>(0, size),
                                    object);
            std::uint64_t& version = highest[object.path];
            version = std::max(version, object.version);
            if (*rc::gen::arbitrary<bool>())
                ring.run_round();
        }
        ring.loss_probability = 0.0;
        for (std::size_t i = 0; i < 4 * size + 8; ++i)
            ring.run_round();
        RC_ASSERT(!ring.has_regressed);
        for (std::size_t index = 0; index < size; ++index)
            RC_ASSERT(ring.stored_versions[index] == highest);
    }));
}

Test(settings_exchange, a_value_is_sent_to_each_instance_once)
{
    ring_simulation ring(8, 3);
    ring.read_from_platform(0, object_of(1, 5));
    while (!ring.in_flight.empty())
        ring.deliver_one();
    for (const auto& stored_versions : ring.stored_versions)
        cr_assert_eq(stored_versions.at("/teams/t/1"), 5);
    cr_assert_eq(ring.answers_delivered, 7);
}

Test(settings_exchange, an_unanswered_fetch_is_sent_to_another_peer)
{
    settings_exchange node;
    node.on_peer_opened(name_of(1));
    node.on_peer_opened(name_of(2));
    std::vector<exchange_action> out;
    const absl::Time start = absl::UnixEpoch();
    const settings_offer offer{{{"/teams/t/1", 4}}};
    node.on_message(start, name_of(1), offer, out);
    node.on_message(start, name_of(2), offer, out);
    const settings_fetch fetch{{"/teams/t/1"}};
    cr_assert_eq(out.size(), 1);
    cr_assert(out.front() ==
              exchange_action(outgoing_message{name_of(1), fetch}));
    out.clear();
    node.on_tick(start + absl::Seconds(2), out);
    cr_assert_eq(out.size(), 1);
    cr_assert(out.front() ==
              exchange_action(outgoing_message{name_of(2), fetch}));
}

#include "oriolefall/settings/assembly.hpp"
#include "oriolefall/settings/change.hpp"
#include "oriolefall/settings/replica.hpp"

#include <algorithm>
#include <array>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using settings::change_refusal;
using settings::change_refused;
using settings::tree_object;

namespace {

const tree_object base_object{"/teams/ops/base", 1, R"({
    "regions": [{"name": "r", "failure_domains": ["r-1"]}],
    "models": [{"name": "m"}]})"};
const tree_object club_object{"/teams/club/main", 2, R"({
    "classes": [{"name": "c", "tier": "standard"}],
    "workspaces": [{"name": "w"}]})"};
const tree_object servers_object{"/teams/ops/servers", 3, R"({
    "backend_servers": [{"id": "b", "endpoint": "127.0.0.1:1",
        "serves": ["m"],
        "location": {"region": "r", "failure_domain": "r-1"}}]})"};
const std::vector<tree_object> tree{base_object, club_object, servers_object};
const std::vector<settings::team_key> keys{
    {core::team_name("club"), "club-key-0123456"},
    {core::team_name("ops"), "ops-key-01234567"}};

settings::change club_change(const std::string& text)
{
    return {core::team_name("club"), "club-key-0123456", "/teams/club/main",
            text, std::nullopt};
}

change_refusal refusal_of(const settings::change& requested)
{
    const auto result = settings::check_change(requested, tree, keys);
    const auto* refused = std::get_if<change_refused>(&result);
    cr_assert_not_null(refused);
    return refused->reason;
}

} // namespace

Test(assembly, merges_objects_of_all_teams)
{
    const auto assembled = settings::assemble(tree);
    cr_assert(assembled.faults.empty());
    cr_assert_eq(assembled.deployment.teams.size(), 2);
    cr_assert_eq(assembled.deployment.classes.size(), 1);
    cr_assert_eq(assembled.deployment.backend_servers.size(), 1);
    cr_assert_eq(assembled.deployment.workspaces[0].team.value(), "club");
}

Test(assembly, omits_faulty_elements_and_reports_their_paths)
{
    const tree_object faulty{"/teams/zed/main", 4, R"({
        "classes": [{"name": "d", "tier": "batch"},
                    {"name": "e", "tier": "gold"}],
        "workspaces": [{"name": "v", "team": "club"}], "colour": []})"};
    std::vector<tree_object> objects = tree;
    objects.push_back(faulty);
    const auto assembled = settings::assemble(objects);
    cr_assert_eq(assembled.deployment.classes.size(), 2);
    cr_assert_eq(assembled.deployment.workspaces.size(), 1);
    std::vector<std::string> paths;
    for (const auto& fault : assembled.faults) {
        cr_assert_eq(fault.object_path, faulty.path);
        paths.push_back(fault.error.path);
    }
    std::ranges::sort(paths);
    const std::vector<std::string> expected{"/classes/1/tier", "/colour",
                                            "/workspaces/0/team"};
    cr_assert(paths == expected);
}

Test(assembly, omits_an_element_whose_name_another_team_uses)
{
    const tree_object duplicate{
        "/teams/zed/main", 4,
        R"({"classes": [{"name": "c", "tier": "batch"}]})"};
    std::vector<tree_object> objects{duplicate};
    objects.insert(objects.end(), tree.begin(), tree.end());
    const auto assembled = settings::assemble(objects);
    cr_assert_eq(assembled.deployment.classes.size(), 1);
    cr_assert(assembled.deployment.classes[0].tier == core::tier::standard);
    cr_assert_eq(assembled.faults.size(), 1);
    cr_assert_eq(assembled.faults[0].object_path, duplicate.path);
}

Test(assembly, removing_a_model_omits_only_its_servers)
{
    std::vector<tree_object> objects{
        {base_object.path, 9, R"({"regions": [{"name": "r",
            "failure_domains": ["r-1"]}]})"},
        club_object,
        servers_object};
    const auto assembled = settings::assemble(objects);
    cr_assert_eq(assembled.deployment.backend_servers.size(), 0);
    cr_assert_eq(assembled.deployment.classes.size(), 1);
    cr_assert_eq(assembled.faults.size(), 1);
}

Test(assembly, scales_minimum_shares_down_to_a_sum_of_one)
{
    std::vector<tree_object> objects;
    for (const char* name : {"a", "b", "c"}) {
        const std::string text(name);
        objects.push_back({"/teams/" + text + "/main", 1,
                           R"({"classes": [{"name": ")" + text +
                               R"(", "tier": "batch",
                               "minimum_share": 0.5}]})"});
    }
    const auto assembled = settings::assemble(objects);
    cr_assert_eq(assembled.deployment.classes.size(), 3);
    double sum = 0.0;
    for (const auto& service_class : assembled.deployment.classes)
        sum += service_class.minimum_share;
    cr_assert(sum <= 1.0 && sum > 0.99);
    cr_assert_eq(assembled.faults.size(), 1);
}

Test(assembly, does_not_depend_on_the_order_of_objects)
{
    const bool passed = rc::check("any order", [] {
        std::vector<tree_object> objects = tree;
        objects.push_back({"/teams/zed/main", 4,
                           R"({"classes": [{"name": "c", "tier": "batch"},
                               {"name": "d", "tier": "none"}]})"});
        const auto expected = settings::assemble(objects);
        const auto swaps = *rc::gen::container<std::vector<std::size_t>>(
            8, rc::gen::inRange<std::size_t>(0, objects.size()));
        for (const std::size_t index : swaps)
            std::swap(objects.front(), objects[index]);
        RC_ASSERT(settings::assemble(objects) == expected);
    });
    cr_assert(passed);
}

Test(change, to_the_own_subtree_is_accepted_without_its_comments)
{
    const auto result = settings::check_change(
        club_change("{ /* none */ \"workspaces\": [{\"name\": \"w\"}] }"), tree,
        keys);
    const auto& checked = std::get<settings::change_checked>(result);
    cr_assert_eq(checked.value, R"({"workspaces":[{"name":"w"}]})");
}

Test(change, to_another_subtree_or_with_a_wrong_key_is_refused)
{
    settings::change requested = club_change("{}");
    requested.path = "/teams/ops/base";
    cr_assert(refusal_of(requested) == change_refusal::outside_subtree);
    for (const char* path :
         {"/teams/club", "/teams/club/", "/teams/club/../ops/base",
          "/teams/club//x", "/teams/clubs/x", "teams/club/x", "/x"}) {
        requested.path = path;
        cr_assert(refusal_of(requested) == change_refusal::outside_subtree,
                  "%s", path);
    }
    requested = club_change("{}");
    requested.key = "ops-key-01234567";
    cr_assert(refusal_of(requested) == change_refusal::wrong_key);
    requested.key = "";
    cr_assert(refusal_of(requested) == change_refusal::wrong_key);
    requested.team = core::team_name("nobody");
    cr_assert(refusal_of(requested) == change_refusal::unknown_team);
}

Test(change, that_would_break_another_teams_settings_is_refused)
{
    settings::change requested{core::team_name("ops"), "ops-key-01234567",
                               base_object.path,
                               R"({"models": [{"name": "m"}]})", std::nullopt};
    const auto result = settings::check_change(requested, tree, keys);
    const auto& refused = std::get<change_refused>(result);
    cr_assert(refused.reason == change_refusal::invalid);
    cr_assert_eq(refused.faults.size(), 1);
    cr_assert_eq(refused.faults[0].object_path, servers_object.path);
    cr_assert_eq(refused.faults[0].error.path,
                 "/backend_servers/0/location/region");
}

Test(change, is_not_refused_for_existing_faults_of_other_teams)
{
    std::vector<tree_object> objects = tree;
    objects.push_back({"/teams/zed/main", 4, R"({"colour": 1})"});
    const auto result = settings::check_change(
        club_change(R"({"workspaces": [{"name": "w"}]})"), objects, keys);
    cr_assert(std::holds_alternative<settings::change_checked>(result));
}

Test(change, refusal_lists_every_fault)
{
    const auto result = settings::check_change(
        club_change(R"({"classes": [{"name": "c", "tier": "x"},
                                    {"name": "d", "tier": "y"}]})"),
        tree, keys);
    cr_assert_eq(std::get<change_refused>(result).faults.size(), 2);
}

namespace {

constexpr std::size_t path_count = 3;
constexpr std::size_t replica_count = 4;

std::string path_at(std::size_t number)
{
    return "/teams/t/" + std::to_string(number);
}

tree_object object_at(std::size_t path, std::uint64_t version)
{
    return {path_at(path), version, std::to_string(version)};
}

/// The history of a few objects, and replicas that receive their versions late,
/// repeatedly and out of order.
struct replica_simulation
{
    replica_simulation()
        : replicas(replica_count), highest_versions(replica_count)
    {
    }

    void write(std::size_t path)
    {
        history[path].push_back(++revision);
    }

    /// Offers any past version of the object: a stale read, a delayed message
    /// of a peer or a duplicate.
    void deliver(std::size_t to, std::size_t path, std::size_t version_index)
    {
        const auto& versions = history[path];
        if (!versions.empty())
            offer(to, path, versions[version_index % versions.size()]);
    }

    void offer(std::size_t to, std::size_t path, std::uint64_t version)
    {
        const bool is_newer = version > highest_versions[to][path];
        RC_ASSERT(replicas[to].offer(object_at(path, version)) == is_newer);
        highest_versions[to][path] =
            std::max(highest_versions[to][path], version);
        expect_highest_version(to, path);
    }

    /// Sends all newer objects of one replica to another.
    void gossip(std::size_t from, std::size_t to)
    {
        const auto missing = replicas[from].newer_than(replicas[to].versions());
        for (const tree_object& object : missing)
            RC_ASSERT(replicas[to].offer(object));
        for (std::size_t path = 0; path < path_count; ++path) {
            highest_versions[to][path] = std::max(highest_versions[to][path],
                                                  highest_versions[from][path]);
            expect_highest_version(to, path);
        }
    }

    /// Replaces a replica by an empty one, which learns from a peer the
    /// versions that it must have before it is ready, and then the objects.
    void restart(std::size_t replica_index, std::size_t peer)
    {
        replicas[replica_index] = settings::replica();
        highest_versions[replica_index] = {};
        const auto reported = replicas[peer].versions();
        replicas[replica_index].expect(reported);
        const bool has_missing_versions =
            replica_index != peer && !reported.empty();
        RC_ASSERT(replicas[replica_index].missing_versions().empty() ==
                  !has_missing_versions);
        for (const tree_object& object : replicas[peer].objects())
            offer(replica_index, path_index_of(object), object.version);
        RC_ASSERT(replicas[replica_index].missing_versions().empty());
    }

    static std::size_t path_index_of(const tree_object& object)
    {
        return static_cast<std::size_t>(object.path.back() - '0');
    }

    void expect_highest_version(std::size_t replica_index,
                                std::size_t path) const
    {
        RC_ASSERT(replicas[replica_index].version_of(path_at(path)) ==
                  highest_versions[replica_index][path]);
    }

    /// Delivers the latest versions to all replicas, which must then be equal.
    void converge()
    {
        for (std::size_t to = 0; to < replica_count; ++to) {
            for (std::size_t path = 0; path < path_count; ++path)
                deliver(to, path, history[path].size() - 1);
            RC_ASSERT(replicas[to].digest() == replicas[0].digest());
            RC_ASSERT(replicas[to].objects() == replicas[0].objects());
        }
    }

    /// Versions that each object had, in order.
    std::array<std::vector<std::uint64_t>, path_count> history;
    std::uint64_t revision = 0;
    std::vector<settings::replica> replicas;
    std::vector<std::array<std::uint64_t, path_count>> highest_versions;
};

} // namespace

Test(replica, versions_never_decrease_and_replicas_converge)
{
    const bool passed = rc::check("versions only grow", [] {
        replica_simulation simulation;
        const auto steps = *rc::gen::container<std::vector<std::array<int, 4>>>(
            rc::gen::container<std::array<int, 4>>(rc::gen::inRange(0, 1000)));
        for (const auto& [action, a, b, c] : steps) {
            const std::size_t to = static_cast<std::size_t>(a) % replica_count;
            const std::size_t path = static_cast<std::size_t>(b) % path_count;
            const std::size_t peer =
                static_cast<std::size_t>(c) % replica_count;
            if (action < 300)
                simulation.write(path);
            else if (action < 700)
                simulation.deliver(to, path,
                                   static_cast<std::uint64_t>(c) %
                                       (simulation.revision + 1));
            else if (action < 900)
                simulation.gossip(peer, to);
            else
                simulation.restart(to, peer);
        }
        simulation.converge();
    });
    cr_assert(passed);
}

Test(replica, digests_differ_when_versions_do)
{
    settings::replica left;
    settings::replica right;
    cr_assert(left.digest() == right.digest());
    left.offer({"/teams/t/a", 1, "{}"});
    cr_assert(left.digest() != right.digest());
    right.offer({"/teams/t/a", 2, "{}"});
    cr_assert(left.digest() != right.digest());
    left.offer({"/teams/t/a", 2, "{}"});
    cr_assert(left.digest() == right.digest());
    cr_assert_eq(left.change_count(), 2);
}

Test(replica, compares_versions_of_team_subtrees)
{
    settings::replica replica;
    replica.offer({"/teams/a/x", 3, "{}"});
    replica.offer({"/teams/a/y", 7, "{}"});
    replica.offer({"/teams/b/x", 5, "{}"});
    const core::team_name a("a");
    const core::team_name b("b");
    const core::team_name c("c");
    const std::vector<settings::team_version> expected{{a, 7}, {b, 5}};
    cr_assert(replica.team_versions() == expected);
    cr_assert_eq(replica.objects_of(a).size(), 2);
    cr_assert_eq(replica.objects_of(c).size(), 0);
    const std::vector<settings::team_version> reported{{a, 7}, {b, 6}, {c, 1}};
    const std::vector<core::team_name> outdated{b, c};
    cr_assert(replica.outdated_teams(reported) == outdated);
}

Test(change, to_a_move_is_refused_and_assembly_skips_moves)
{
    settings::change requested = club_change("{}");
    requested.path = "/teams/club/moves/weekend";
    cr_assert(refusal_of(requested) == change_refusal::outside_subtree);
    cr_assert(settings::is_move_path(requested.path));
    cr_assert_not(settings::is_move_path("/teams/club/moves"));
    cr_assert_not(settings::is_move_path("/teams/club/moves/a/b"));
    std::vector<tree_object> objects = tree;
    objects.push_back({requested.path, 5, R"({"name": "weekend"})"});
    cr_assert(settings::assemble(objects) == settings::assemble(tree));
}

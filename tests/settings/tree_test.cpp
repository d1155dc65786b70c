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

const tree_object base{"/teams/ops/base", 1, R"({
    "regions": [{"name": "r", "failure_domains": ["r-1"]}],
    "models": [{"name": "m"}]})"};
const tree_object club{"/teams/club/main", 2, R"({
    "classes": [{"name": "c", "tier": "standard"}],
    "workspaces": [{"name": "w"}]})"};
const tree_object servers{"/teams/ops/servers", 3, R"({
    "backend_servers": [{"id": "b", "endpoint": "127.0.0.1:1",
        "serves": ["m"],
        "location": {"region": "r", "failure_domain": "r-1"}}]})"};
const std::vector<tree_object> tree{base, club, servers};
const std::vector<settings::team_key> keys{
    {core::team_name("club"), "club-key-0123456"},
    {core::team_name("ops"), "ops-key-01234567"}};

settings::change club_change(const std::string& text)
{
    return {core::team_name("club"), "club-key-0123456", "/teams/club/main",
            text, std::nullopt};
}

change_refusal refusal_of(const settings::change& wanted)
{
    const auto result = settings::check_change(wanted, tree, keys);
    const auto* refused = std::get_if<change_refused>(&result);
    cr_assert_not_null(refused);
    return refused->reason;
}

} // namespace

Test(assembly, joins_every_teams_objects)
{
    const auto whole = settings::assemble(tree);
    cr_assert(whole.faults.empty());
    cr_assert_eq(whole.deployment.teams.size(), 2);
    cr_assert_eq(whole.deployment.classes.size(), 1);
    cr_assert_eq(whole.deployment.backend_servers.size(), 1);
    cr_assert_eq(whole.deployment.workspaces[0].team.value(), "club");
}

Test(assembly, leaves_out_what_is_faulty_and_says_where_it_stands)
{
    const tree_object faulty{"/teams/zed/main", 4, R"({
        "classes": [{"name": "d", "tier": "batch"},
                    {"name": "e", "tier": "gold"}],
        "workspaces": [{"name": "v", "team": "club"}], "colour": []})"};
    std::vector<tree_object> objects = tree;
    objects.push_back(faulty);
    const auto whole = settings::assemble(objects);
    cr_assert_eq(whole.deployment.classes.size(), 2);
    cr_assert_eq(whole.deployment.workspaces.size(), 1);
    std::vector<std::string> paths;
    for (const auto& fault : whole.faults) {
        cr_assert_eq(fault.object_path, faulty.path);
        paths.push_back(fault.error.path);
    }
    std::ranges::sort(paths);
    const std::vector<std::string> expected{"/classes/1/tier", "/colour",
                                            "/workspaces/0/team"};
    cr_assert(paths == expected);
}

Test(assembly, a_name_that_another_team_has_is_left_out)
{
    const tree_object thief{"/teams/zed/main", 4,
                            R"({"classes": [{"name": "c", "tier": "batch"}]})"};
    std::vector<tree_object> objects{thief};
    objects.insert(objects.end(), tree.begin(), tree.end());
    const auto whole = settings::assemble(objects);
    cr_assert_eq(whole.deployment.classes.size(), 1);
    cr_assert(whole.deployment.classes[0].tier == core::tier::standard);
    cr_assert_eq(whole.faults.size(), 1);
    cr_assert_eq(whole.faults[0].object_path, thief.path);
}

Test(assembly, a_removed_model_takes_only_its_servers_out_of_force)
{
    std::vector<tree_object> objects{
        {base.path, 9, R"({"regions": [{"name": "r",
            "failure_domains": ["r-1"]}]})"},
        club,
        servers};
    const auto whole = settings::assemble(objects);
    cr_assert_eq(whole.deployment.backend_servers.size(), 0);
    cr_assert_eq(whole.deployment.classes.size(), 1);
    cr_assert_eq(whole.faults.size(), 1);
}

Test(assembly, shares_beyond_the_whole_shrink_alike)
{
    std::vector<tree_object> objects;
    for (const char* name : {"a", "b", "c"}) {
        const std::string text(name);
        objects.push_back({"/teams/" + text + "/main", 1,
                           R"({"classes": [{"name": ")" + text +
                               R"(", "tier": "batch",
                               "minimum_share": 0.5}]})"});
    }
    const auto whole = settings::assemble(objects);
    cr_assert_eq(whole.deployment.classes.size(), 3);
    double sum = 0.0;
    for (const auto& some : whole.deployment.classes)
        sum += some.minimum_share;
    cr_assert(sum <= 1.0 && sum > 0.99);
    cr_assert_eq(whole.faults.size(), 1);
}

Test(assembly, does_not_depend_on_the_order_of_objects)
{
    const bool held = rc::check("any order", [] {
        std::vector<tree_object> objects = tree;
        objects.push_back({"/teams/zed/main", 4,
                           R"({"classes": [{"name": "c", "tier": "batch"},
                               {"name": "d", "tier": "none"}]})"});
        const auto expected = settings::assemble(objects);
        const auto swaps = *rc::gen::container<std::vector<std::size_t>>(
            8, rc::gen::inRange<std::size_t>(0, objects.size()));
        for (const std::size_t at : swaps)
            std::swap(objects.front(), objects[at]);
        RC_ASSERT(settings::assemble(objects) == expected);
    });
    cr_assert(held);
}

Test(change, of_the_own_subtree_is_taken_without_comments)
{
    const auto result = settings::check_change(
        club_change("{ /* none */ \"workspaces\": [{\"name\": \"w\"}] }"), tree,
        keys);
    const auto& checked = std::get<settings::change_checked>(result);
    cr_assert_eq(checked.value, R"({"workspaces":[{"name":"w"}]})");
}

Test(change, of_another_subtree_or_with_a_wrong_key_is_refused)
{
    settings::change wanted = club_change("{}");
    wanted.path = "/teams/ops/base";
    cr_assert(refusal_of(wanted) == change_refusal::outside_subtree);
    for (const char* path :
         {"/teams/club", "/teams/club/", "/teams/club/../ops/base",
          "/teams/club//x", "/teams/clubs/x", "teams/club/x", "/x"}) {
        wanted.path = path;
        cr_assert(refusal_of(wanted) == change_refusal::outside_subtree, "%s",
                  path);
    }
    wanted = club_change("{}");
    wanted.key = "ops-key-01234567";
    cr_assert(refusal_of(wanted) == change_refusal::wrong_key);
    wanted.key = "";
    cr_assert(refusal_of(wanted) == change_refusal::wrong_key);
    wanted.team = core::team_name("nobody");
    cr_assert(refusal_of(wanted) == change_refusal::unknown_team);
}

Test(change, that_would_break_another_teams_settings_is_refused)
{
    settings::change wanted{core::team_name("ops"), "ops-key-01234567",
                            base.path, R"({"models": [{"name": "m"}]})",
                            std::nullopt};
    const auto result = settings::check_change(wanted, tree, keys);
    const auto& refused = std::get<change_refused>(result);
    cr_assert(refused.reason == change_refusal::invalid);
    cr_assert_eq(refused.faults.size(), 1);
    cr_assert_eq(refused.faults[0].object_path, servers.path);
    cr_assert_eq(refused.faults[0].error.path,
                 "/backend_servers/0/location/region");
}

Test(change, is_not_refused_for_faults_of_others)
{
    std::vector<tree_object> objects = tree;
    objects.push_back({"/teams/zed/main", 4, R"({"colour": 1})"});
    const auto result = settings::check_change(
        club_change(R"({"workspaces": [{"name": "w"}]})"), objects, keys);
    cr_assert(std::holds_alternative<settings::change_checked>(result));
}

Test(change, with_a_fault_tells_every_one)
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

std::string path_number(std::size_t number)
{
    return "/teams/t/" + std::to_string(number);
}

tree_object object_at(std::size_t path, std::uint64_t version)
{
    return {path_number(path), version, std::to_string(version)};
}

/// The true history of a few objects and replicas that hear of it badly.
struct settings_world
{
    settings_world() : replicas(replica_count), highest(replica_count) {}

    void write(std::size_t path)
    {
        history[path].push_back(++revision);
    }

    /// Any version that the object ever had, at any time: a stale read, a
    /// delayed peer, a repeat.
    void deliver(std::size_t to, std::size_t path, std::size_t which)
    {
        const auto& versions = history[path];
        if (!versions.empty())
            offer(to, path, versions[which % versions.size()]);
    }

    void offer(std::size_t to, std::size_t path, std::uint64_t version)
    {
        const bool is_newer = version > highest[to][path];
        RC_ASSERT(replicas[to].offer(object_at(path, version)) == is_newer);
        highest[to][path] = std::max(highest[to][path], version);
        check(to, path);
    }

    /// A peer tells all that it holds to one that may hold more.
    void gossip(std::size_t from, std::size_t to)
    {
        const auto missing = replicas[from].newer_than(replicas[to].versions());
        for (const tree_object& object : missing)
            RC_ASSERT(replicas[to].offer(object));
        for (std::size_t path = 0; path < path_count; ++path) {
            highest[to][path] =
                std::max(highest[to][path], highest[from][path]);
            check(to, path);
        }
    }

    /// A new process takes the place of one; its peer tells it versions, so
    /// that it knows what it must hear of before it is ready.
    void restart(std::size_t which, std::size_t peer)
    {
        replicas[which] = settings::replica();
        highest[which] = {};
        const auto told = replicas[peer].versions();
        replicas[which].expect(told);
        const bool knows_more = which != peer && !told.empty();
        RC_ASSERT(replicas[which].behind().empty() == !knows_more);
        for (const tree_object& object : replicas[peer].objects())
            offer(which, path_of(object), object.version);
        RC_ASSERT(replicas[which].behind().empty());
    }

    static std::size_t path_of(const tree_object& object)
    {
        return static_cast<std::size_t>(object.path.back() - '0');
    }

    void check(std::size_t which, std::size_t path) const
    {
        RC_ASSERT(replicas[which].version_of(path_number(path)) ==
                  highest[which][path]);
    }

    /// Everyone hears the truth once: all accepted changes are in force.
    void settle()
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
    std::vector<std::array<std::uint64_t, path_count>> highest;
};

} // namespace

Test(replica, never_goes_back_and_ends_with_every_accepted_change)
{
    const bool held = rc::check("versions only grow", [] {
        settings_world world;
        const auto steps = *rc::gen::container<std::vector<std::array<int, 4>>>(
            rc::gen::container<std::array<int, 4>>(rc::gen::inRange(0, 1000)));
        for (const auto& [what, a, b, c] : steps) {
            const std::size_t to = static_cast<std::size_t>(a) % replica_count;
            const std::size_t path = static_cast<std::size_t>(b) % path_count;
            const std::size_t peer =
                static_cast<std::size_t>(c) % replica_count;
            if (what < 300)
                world.write(path);
            else if (what < 700)
                world.deliver(to, path,
                              static_cast<std::uint64_t>(c) %
                                  (world.revision + 1));
            else if (what < 900)
                world.gossip(peer, to);
            else
                world.restart(to, peer);
        }
        world.settle();
    });
    cr_assert(held);
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
    cr_assert_eq(left.changes(), 2);
}

Test(replica, tells_and_compares_versions_of_whole_subtrees)
{
    settings::replica held;
    held.offer({"/teams/a/x", 3, "{}"});
    held.offer({"/teams/a/y", 7, "{}"});
    held.offer({"/teams/b/x", 5, "{}"});
    const core::team_name a("a");
    const core::team_name b("b");
    const core::team_name c("c");
    const std::vector<settings::team_version> expected{{a, 7}, {b, 5}};
    cr_assert(held.team_versions() == expected);
    cr_assert_eq(held.objects_of(a).size(), 2);
    cr_assert_eq(held.objects_of(c).size(), 0);
    const std::vector<settings::team_version> told{{a, 7}, {b, 6}, {c, 1}};
    const std::vector<core::team_name> wanted{b, c};
    cr_assert(held.teams_to_fetch(told) == wanted);
}

Test(change, of_a_move_goes_another_way)
{
    settings::change wanted = club_change("{}");
    wanted.path = "/teams/club/moves/weekend";
    cr_assert(refusal_of(wanted) == change_refusal::outside_subtree);
    cr_assert(settings::is_move_path(wanted.path));
    cr_assert_not(settings::is_move_path("/teams/club/moves"));
    cr_assert_not(settings::is_move_path("/teams/club/moves/a/b"));
    std::vector<tree_object> objects = tree;
    objects.push_back({wanted.path, 5, R"({"name": "weekend"})"});
    cr_assert(settings::assemble(objects) == settings::assemble(tree));
}

#include "oriolefall/objects/move_store.hpp"
#include "oriolefall/objects/settings_duty.hpp"
#include "oriolefall/objects/settings_store.hpp"
#include "tests/objects/platform_fixture.hpp"

#include <algorithm>
#include <memory>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::platform_fixture;

namespace {

const settings::team_key ops{core::team_name("ops"), "key-of-the-ops-1"};

constexpr const char* deployment = R"({
    "regions": [{"name": "r", "failure_domains": ["r-1"]}],
    "models": [{"name": "m"}],
    "backend_servers": [
        {"id": "old", "endpoint": "127.0.0.1:1", "serves": ["m"],
         "location": {"region": "r", "failure_domain": "r-1"}},
        {"id": "new", "endpoint": "127.0.0.1:2", "serves": ["m"],
         "location": {"region": "r", "failure_domain": "r-1"}}]})";

/// Runs a settings duty without an instance; its hooks push to rings.
struct duty_fixture
{
    duty_fixture()
        : published(64), announced_versions(64), subtree_requests(64),
          sent_subtrees(64), duty(64, hooks())
    {
    }

    objects::settings_duty_hooks hooks()
    {
        objects::settings_duty_hooks hooks;
        hooks.publish = [this](const objects::settings_in_force& in_force) {
            published.push(in_force);
        };
        hooks.announce_versions = [this](const auto& teams) {
            announced_versions.push(teams);
        };
        hooks.request_subtrees = [this](const core::instance_id& peer,
                                        const auto& teams) {
            subtree_requests.push(objects::peer_subtree_request{peer, teams});
        };
        hooks.send_subtree = [this](const core::instance_id&,
                                    const settings::team_version&,
                                    const auto& objects) {
            sent_subtrees.push(objects::peer_objects{objects});
        };
        return hooks;
    }

    /// Takes published settings until a server is marked as leaving.
    void wait_for_leaving(const std::string& id)
    {
        while (true) {
            const auto in_force = published.pop();
            const auto& servers = in_force->table->servers;
            const auto found =
                std::ranges::find(servers, core::backend_server_id(id),
                                  &core::backend_server::id);
            if (found != servers.end() && found->leaving)
                return;
        }
    }

    core::bounded_ring<objects::settings_in_force> published;
    core::bounded_ring<std::vector<settings::team_version>> announced_versions;
    core::bounded_ring<objects::peer_subtree_request> subtree_requests;
    core::bounded_ring<objects::peer_objects> sent_subtrees;
    objects::settings_duty duty;
};

/// Posts what a store watcher reads from a platform to a settings duty.
struct platform_feed
{
    platform_feed(platform_fixture& platform, duty_fixture& target)
        : client(fast_client_settings(platform)),
          watcher(
              settings(), client.as_object_store(), [this] { client.stop(); },
              [&target](objects::store_update update) {
                  target.duty.try_post(std::move(update));
              })
    {
    }

    static objects::client_settings
    fast_client_settings(platform_fixture& platform)
    {
        auto settings = platform.settings();
        settings.watch_grace = absl::Milliseconds(50);
        return settings;
    }

    static objects::store_watcher_settings settings()
    {
        objects::store_watcher_settings settings;
        settings.watch_timeout = absl::Milliseconds(100);
        return settings;
    }

    objects::client client;
    objects::store_watcher watcher;
};

void put_deployment(platform_fixture& platform)
{
    objects::client client(platform.settings());
    objects::settings_store tree(client.as_object_store(), {ops});
    const auto result = tree.put(
        {ops.team, ops.key, "/teams/ops/main", deployment, std::nullopt});
    cr_assert(std::holds_alternative<objects::change_accepted>(result));
}

void create_move(platform_fixture& platform)
{
    objects::client client(platform.settings());
    objects::move_store moves(client.as_object_store(), {ops});
    const auto result = moves.create(
        ops, R"({"name": "weekend", "team": "ops", "leaving": ["old"],
                 "arriving": [{"id": "new", "models": ["m"]}]})");
    cr_assert(std::holds_alternative<objects::written>(result));
}

} // namespace

Test(settings_duty, publishes_settings_of_the_platform)
{
    platform_fixture platform;
    put_deployment(platform);
    duty_fixture fixture;
    platform_feed feed(platform, fixture);
    const auto in_force = fixture.published.pop();
    cr_assert_eq(in_force->table->servers.size(), 2);
    cr_assert(in_force->faults.empty());
    cr_assert_eq(fixture.announced_versions.pop()->front().team.value(), "ops");
}

Test(settings_duty, marks_leaving_servers_when_a_move_is_accepted)
{
    platform_fixture platform;
    put_deployment(platform);
    duty_fixture fixture;
    platform_feed feed(platform, fixture);
    create_move(platform);
    fixture.wait_for_leaving("old");
}

Test(settings_duty, marks_leaving_servers_while_watches_are_not_answered)
{
    platform_fixture platform;
    put_deployment(platform);
    duty_fixture fixture;
    platform_feed feed(platform, fixture);
    platform.set_faults(R"({"silent_watch":true})");
    create_move(platform);
    fixture.wait_for_leaving("old");
}

Test(settings_duty, receives_a_move_from_a_peer_during_an_outage)
{
    platform_fixture platform;
    put_deployment(platform);
    create_move(platform);
    duty_fixture first;
    const auto feed = std::make_unique<platform_feed>(platform, first);
    first.wait_for_leaving("old");
    platform.set_faults(R"({"outage":true})");

    duty_fixture second;
    const core::instance_id peer("first");
    const auto announced = first.announced_versions.pop();
    second.duty.post(objects::peer_versions{peer, *announced});
    const auto requested = second.subtree_requests.pop();
    first.duty.post(objects::peer_subtree_request{core::instance_id("second"),
                                                  requested->teams});
    second.duty.post(*first.sent_subtrees.pop());
    second.wait_for_leaving("old");
}

Test(settings_duty, older_version_from_a_peer_is_ignored)
{
    duty_fixture fixture;
    const settings::tree_object newer{"/teams/ops/main", 5, deployment};
    const settings::tree_object older{"/teams/ops/main", 4, "{}"};
    const settings::tree_object other{"/teams/ops/other", 1, "{}"};
    fixture.duty.post(objects::peer_objects{{newer}});
    cr_assert_eq(fixture.published.pop()->table->servers.size(), 2);
    fixture.duty.post(objects::peer_objects{{older}});
    fixture.duty.post(objects::peer_objects{{older, other}});
    const auto in_force = fixture.published.pop();
    cr_assert_eq(in_force->table->servers.size(), 2);
    cr_assert_eq(in_force->table->version, 2);
}

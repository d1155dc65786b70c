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

/// An instance's settings without the instance: what it asks of others is
/// kept in rings.
struct follower
{
    follower()
        : published(64), offers(64), fetches(64), answers(64), duty(64, hooks())
    {
    }

    objects::settings_duty_hooks hooks()
    {
        objects::settings_duty_hooks hooks;
        hooks.publish = [this](const objects::settings_in_force& some) {
            published.push(some);
        };
        hooks.offer = [this](const auto& teams) { offers.push(teams); };
        hooks.fetch = [this](const core::instance_id& peer, const auto& teams) {
            fetches.push(objects::peer_fetch{peer, teams});
        };
        hooks.answer = [this](const core::instance_id&,
                              const settings::team_version&,
                              const auto& objects) {
            answers.push(objects::peer_objects{objects});
        };
        return hooks;
    }

    /// Takes what is published until a server is marked as leaving.
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
    core::bounded_ring<std::vector<settings::team_version>> offers;
    core::bounded_ring<objects::peer_fetch> fetches;
    core::bounded_ring<objects::peer_objects> answers;
    objects::settings_duty duty;
};

/// Feeds a follower from a platform.
struct feed
{
    feed(platform_fixture& platform, follower& to)
        : client(quick(platform)),
          reader(
              settings(), client.as_object_store(), [this] { client.stop(); },
              [&to](objects::store_news news) {
                  to.duty.try_tell(std::move(news));
              })
    {
    }

    static objects::client_settings quick(platform_fixture& platform)
    {
        auto settings = platform.settings();
        settings.watch_grace = absl::Milliseconds(50);
        return settings;
    }

    static objects::reader_settings settings()
    {
        objects::reader_settings settings;
        settings.watch_limit = absl::Milliseconds(100);
        return settings;
    }

    objects::client client;
    objects::reader reader;
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

Test(settings_duty, publishes_what_the_platform_holds)
{
    platform_fixture platform;
    put_deployment(platform);
    follower some;
    feed from(platform, some);
    const auto in_force = some.published.pop();
    cr_assert_eq(in_force->table->servers.size(), 2);
    cr_assert(in_force->faults.empty());
    cr_assert_eq(some.offers.pop()->front().team.value(), "ops");
}

Test(settings_duty, marks_leaving_servers_when_a_move_is_accepted)
{
    platform_fixture platform;
    put_deployment(platform);
    follower some;
    feed from(platform, some);
    create_move(platform);
    some.wait_for_leaving("old");
}

Test(settings_duty, marks_leaving_servers_while_watches_are_silent)
{
    platform_fixture platform;
    put_deployment(platform);
    follower some;
    feed from(platform, some);
    platform.set_faults(R"({"silent_watch":true})");
    create_move(platform);
    some.wait_for_leaving("old");
}

Test(settings_duty, hears_of_a_move_from_a_peer_while_the_platform_is_away)
{
    platform_fixture platform;
    put_deployment(platform);
    create_move(platform);
    follower first;
    const auto told = std::make_unique<feed>(platform, first);
    first.wait_for_leaving("old");
    platform.set_faults(R"({"outage":true})");

    follower second;
    const core::instance_id peer("first");
    const auto offered = first.offers.pop();
    second.duty.tell(objects::peer_offer{peer, *offered});
    const auto wanted = second.fetches.pop();
    first.duty.tell(
        objects::peer_fetch{core::instance_id("second"), wanted->teams});
    second.duty.tell(*first.answers.pop());
    second.wait_for_leaving("old");
}

Test(settings_duty, an_older_version_from_a_peer_changes_nothing)
{
    follower some;
    const settings::tree_object newer{"/teams/ops/main", 5, deployment};
    const settings::tree_object older{"/teams/ops/main", 4, "{}"};
    const settings::tree_object other{"/teams/ops/other", 1, "{}"};
    some.duty.tell(objects::peer_objects{{newer}});
    cr_assert_eq(some.published.pop()->table->servers.size(), 2);
    some.duty.tell(objects::peer_objects{{older}});
    some.duty.tell(objects::peer_objects{{older, other}});
    const auto in_force = some.published.pop();
    cr_assert_eq(in_force->table->servers.size(), 2);
    cr_assert_eq(in_force->table->version, 2);
}

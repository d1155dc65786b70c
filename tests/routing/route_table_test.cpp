#include "oriolefall/routing/route_table.hpp"

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::routing;

namespace {

route route_to(const std::string& name, const std::string& host,
               const std::string& prefix)
{
    route made;
    made.name = route_name(name);
    made.host = host;
    made.path_prefix = prefix;
    made.targets = {{service_name("service"), 1}};
    return made;
}

route_table table_of(std::uint64_t version)
{
    route_settings settings;
    settings.version = version;
    settings.routes = {route_to("short", "a.example", "/x/"),
                       route_to("long", "a.example", "/x/y/"),
                       route_to("other", "b.example", "/x/")};
    settings.workspaces = {{core::workspace_id("club"), {"key-1", "key-2"}, 1}};
    return route_table(std::move(settings));
}

} // namespace

Test(route_table, the_longest_prefix_of_the_host_wins)
{
    const route_table table = table_of(1);
    cr_assert_eq(table.find_route("a.example", "/x/1")->name.value(), "short");
    cr_assert_eq(table.find_route("a.example", "/x/y/1")->name.value(), "long");
    cr_assert_eq(table.find_route("b.example", "/x/y/1")->name.value(),
                 "other");
}

Test(route_table, a_prefix_must_begin_the_path)
{
    const route_table table = table_of(1);
    cr_assert_null(table.find_route("a.example", "/x"));
    cr_assert_null(table.find_route("a.example", "/z/x/"));
    cr_assert_null(table.find_route("c.example", "/x/"));
}

Test(route_table, a_host_may_carry_a_port_and_any_case)
{
    const route_table table = table_of(1);
    cr_assert_not_null(table.find_route("A.Example:8080", "/x/"));
}

Test(route_table, finds_the_workspace_of_each_of_its_keys)
{
    const route_table table = table_of(1);
    cr_assert_eq(table.find_workspace("key-2")->name.value(), "club");
    cr_assert_null(table.find_workspace("key-3"));
    cr_assert_null(table.find_workspace(""));
}

Test(route_table, a_public_route_asks_for_no_key)
{
    const route_table table = table_of(1);
    route open = route_to("open", "a.example", "/o/");
    cr_assert(table.asks_for_key(open));
    open.is_public = true;
    cr_assert_not(table.asks_for_key(open));
}

Test(route_table, settings_never_go_back_to_an_older_version)
{
    const route_table held = table_of(7);
    cr_assert_not(may_replace(&held.settings(), table_of(6).settings()));
    cr_assert_not(may_replace(&held.settings(), table_of(7).settings()));
    cr_assert(may_replace(&held.settings(), table_of(9).settings()));
    cr_assert(may_replace(nullptr, held.settings()));
}

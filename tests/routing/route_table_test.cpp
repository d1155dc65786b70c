#include "oriolefall/routing/route_table.hpp"

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::routing;

namespace {

route make_route(const std::string& name, const std::string& host,
                 const std::string& prefix)
{
    route result;
    result.name = route_name(name);
    result.host = host;
    result.path_prefix = prefix;
    result.targets = {{service_name("service"), 1}};
    return result;
}

route_table make_table(std::uint64_t version)
{
    route_settings settings;
    settings.version = version;
    settings.routes = {make_route("short", "a.example", "/x/"),
                       make_route("long", "a.example", "/x/y/"),
                       make_route("other", "b.example", "/x/")};
    settings.workspaces = {{core::workspace_id("club"), {"key-1", "key-2"}, 1}};
    return route_table(std::move(settings));
}

} // namespace

Test(route_table, finds_the_longest_matching_prefix_of_the_host)
{
    const route_table table = make_table(1);
    cr_assert_eq(table.find_route("a.example", "/x/1")->name.value(), "short");
    cr_assert_eq(table.find_route("a.example", "/x/y/1")->name.value(), "long");
    cr_assert_eq(table.find_route("b.example", "/x/y/1")->name.value(),
                 "other");
}

Test(route_table, finds_no_route_unless_host_and_prefix_match)
{
    const route_table table = make_table(1);
    cr_assert_null(table.find_route("a.example", "/x"));
    cr_assert_null(table.find_route("a.example", "/z/x/"));
    cr_assert_null(table.find_route("c.example", "/x/"));
}

Test(route_table, host_lookup_ignores_port_and_case)
{
    const route_table table = make_table(1);
    cr_assert_not_null(table.find_route("A.Example:8080", "/x/"));
}

Test(route_table, finds_a_workspace_by_any_of_its_keys)
{
    const route_table table = make_table(1);
    cr_assert_eq(table.find_workspace("key-2")->name.value(), "club");
    cr_assert_null(table.find_workspace("key-3"));
    cr_assert_null(table.find_workspace(""));
}

Test(route_table, a_public_route_requires_no_key)
{
    const route_table table = make_table(1);
    route checked = make_route("open", "a.example", "/o/");
    cr_assert(table.requires_key(checked));
    checked.is_public = true;
    cr_assert_not(table.requires_key(checked));
}

Test(route_table, settings_are_replaced_only_by_a_newer_version)
{
    const route_table current = make_table(7);
    cr_assert_not(may_replace(&current.settings(), make_table(6).settings()));
    cr_assert_not(may_replace(&current.settings(), make_table(7).settings()));
    cr_assert(may_replace(&current.settings(), make_table(9).settings()));
    cr_assert(may_replace(nullptr, current.settings()));
}

#include "tests/adapter/following_instance.hpp"
#include "tests/adapter/running_store.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;
using tests::following_instance;
using tests::running_store;

namespace {

const std::string settings = "config";
const std::string& instances = tests::instances_collection;

void write_version(running_store& store, int version)
{
    store.with([version](soak::store_server& each) {
        return each.put(settings, "main", {{"version", version}});
    });
}

bool wait_for_version(following_instance& instance, int version)
{
    return instance.wait_for([version](const follow::collection_view& view) {
        const auto main = view.objects.find("main");
        return main != view.objects.end() &&
               json::parse(main->second.value)["version"] == version;
    });
}

} // namespace

// CONFIG: after a restore of the store no version came into force any more, as
// the revisions that it gave out again were lower than those known.
Test(restored_store, versions_after_it_come_into_force)
{
    running_store store;
    write_version(store, 4);
    following_instance instance(store.endpoint(), settings);
    cr_assert(wait_for_version(instance, 4));
    store.with([](soak::store_server& each) { each.copy(); });
    for (const int version : {8, 11})
        write_version(store, version);
    cr_assert(wait_for_version(instance, 11));
    store.with([](soak::store_server& each) { each.restore(); });
    write_version(store, 14);
    cr_assert(wait_for_version(instance, 14));
}

// An instance that the store has forgotten is not found by those that start.
Test(restored_store, the_own_object_is_written_again)
{
    running_store store;
    store.with([](soak::store_server& each) { each.copy(); });
    following_instance instance(store.endpoint(), settings);
    const auto has_names = [](const auto& names) { return !names.empty(); };
    cr_assert(store.wait_for_names(instances, has_names));
    store.with([](soak::store_server& each) { each.restore(); });
    cr_assert(store.names_of(instances).empty());
    cr_assert(store.wait_for_names(instances, has_names));
}

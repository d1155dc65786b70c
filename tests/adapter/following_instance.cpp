#include "tests/adapter/following_instance.hpp"

#include "platform/store_codec.hpp"
#include "tests/adapter/running_store.hpp"

#include <utility>

namespace oriolefall::tests {

namespace {

follow::store_duty_settings duty_settings(const core::endpoint& store,
                                          const std::string& collection)
{
    follow::store_duty_settings made;
    made.store = store;
    made.followed_collections = {{.collection = collection}};
    return made;
}

} // namespace

following_instance::following_instance(const core::endpoint& store,
                                       const std::string& collection)
    : duty_(duty_settings(store, collection), platform::make_store_protocol(),
            hooks())
{
    duty_.start({instances_collection, "edge-1", R"({"callers":"here"})"});
}

bool following_instance::wait_for(const view_check& check)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, patience, [&] { return check(view_); });
}

void following_instance::remove_instance(const std::string& name)
{
    duty_.remove(instances_collection, name);
}

follow::store_duty_hooks following_instance::hooks()
{
    follow::store_duty_hooks made;
    made.on_changed = [this](const std::string&,
                             const follow::collection_view& view) {
        const std::scoped_lock lock(mutex_);
        view_ = view;
        changed_.notify_all();
    };
    made.on_listed = [](const auto&) {};
    made.on_unreachable_changed = [](const auto&, bool, const auto&) {};
    made.on_restored = [](const auto&, auto, auto) {};
    made.send = [](const auto&, const auto&) {};
    made.on_role_changed = [](auto) {};
    made.on_relay_lost = [](const auto&) {};
    return made;
}

} // namespace oriolefall::tests

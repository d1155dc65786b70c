#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/objects/store_watcher.hpp"
#include "oriolefall/objects/store_writer.hpp"
#include "tests/objects/platform_fixture.hpp"

#include <future>
#include <map>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::platform_fixture;

namespace {

/// Runs a store watcher and keeps the last reported value of each path.
class watcher_fixture
{
public:
    explicit watcher_fixture(platform_fixture& platform)
        : updates_(64), client_(fast_client_settings(platform)),
          watcher_(
              settings(), client_.as_object_store(), [this] { client_.stop(); },
              [this](objects::store_update update) {
                  updates_.push(std::move(update));
              })
    {
    }
    watcher_fixture(const watcher_fixture&) = delete;
    watcher_fixture& operator=(const watcher_fixture&) = delete;
    ~watcher_fixture()
    {
        updates_.close();
    }

    /// Takes updates until `path` has `value`.
    void wait_for(const std::string& path, const std::string& value)
    {
        while (values_[path] != value)
            take_update();
    }

    void wait_for_outage()
    {
        while (!is_unreachable_)
            take_update();
    }

private:
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
        settings.backoff = {absl::Milliseconds(1), absl::Milliseconds(10)};
        return settings;
    }

    void take_update()
    {
        const auto update = updates_.pop();
        cr_assert(update.has_value());
        std::visit([this](const auto& each) { apply(each); }, *update);
    }

    void apply(const objects::object_list& list)
    {
        for (const auto& object : list.objects)
            values_[object.path] = object.value;
    }

    void apply(const objects::object_changes& changes)
    {
        for (const auto& change : changes.changes)
            values_[change.path] = change.object ? change.object->value : "";
    }

    void apply(const objects::store_unreachable&)
    {
        is_unreachable_ = true;
    }

    core::bounded_ring<objects::store_update> updates_;
    objects::client client_;
    objects::store_watcher watcher_;
    std::map<std::string, std::string> values_;
    bool is_unreachable_ = false;
};

void put(platform_fixture& platform, const std::string& path,
         const std::string& value)
{
    objects::client client(platform.settings());
    cr_assert(std::holds_alternative<objects::written>(
        client.put(path, value, objects::always{})));
}

} // namespace

Test(store_watcher, reports_existing_objects_and_changes)
{
    platform_fixture platform;
    put(platform, "/teams/a", R"({"v":1})");
    watcher_fixture watcher(platform);
    watcher.wait_for("/teams/a", R"({"v":1})");
    put(platform, "/teams/b", R"({"v":2})");
    watcher.wait_for("/teams/b", R"({"v":2})");
}

Test(store_watcher, reports_changes_while_watches_are_not_answered)
{
    platform_fixture platform;
    watcher_fixture watcher(platform);
    platform.set_faults(R"({"silent_watch":true})");
    put(platform, "/teams/a", R"({"v":1})");
    watcher.wait_for("/teams/a", R"({"v":1})");
    put(platform, "/teams/a", R"({"v":2})");
    watcher.wait_for("/teams/a", R"({"v":2})");
}

Test(store_watcher, reports_a_change_that_stale_lists_lack)
{
    platform_fixture platform;
    put(platform, "/teams/a", R"({"v":1})");
    put(platform, "/teams/a", R"({"v":2})");
    platform.set_faults(R"({"stale_reads":true})");
    watcher_fixture watcher(platform);
    watcher.wait_for("/teams/a", R"({"v":2})");
}

Test(store_watcher, lists_again_when_changes_are_no_longer_available)
{
    platform_fixture platform(2);
    for (int i = 0; i < 10; ++i)
        put(platform, "/teams/a", core::concat(R"({"v":)", i, "}"));
    put(platform, "/other", "{}");
    put(platform, "/other", "{}");
    put(platform, "/other", "{}");
    watcher_fixture watcher(platform);
    watcher.wait_for("/teams/a", R"({"v":9})");
    put(platform, "/teams/a", R"({"v":10})");
    watcher.wait_for("/teams/a", R"({"v":10})");
}

Test(store_watcher, reports_an_outage_and_continues_after_it)
{
    platform_fixture platform;
    watcher_fixture watcher(platform);
    platform.set_faults(R"({"outage":true})");
    watcher.wait_for_outage();
    platform.set_faults(R"({"outage":false})");
    put(platform, "/teams/a", R"({"v":1})");
    watcher.wait_for("/teams/a", R"({"v":1})");
}

Test(store_writer, executes_tasks_in_order_and_reports_results)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    objects::store_writer writer(
        client.as_object_store(), [&] { client.stop(); }, 8);
    std::promise<objects::write_result> first;
    std::promise<objects::write_result> second;
    cr_assert(writer.submit(objects::put_task{
        "/teams/a", "{}", objects::if_absent{},
        [&](const auto& result) { first.set_value(result); }}));
    cr_assert(writer.submit(objects::put_task{
        "/teams/a", "{}", objects::if_absent{},
        [&](const auto& result) { second.set_value(result); }}));
    cr_assert(
        std::holds_alternative<objects::written>(first.get_future().get()));
    cr_assert(
        std::holds_alternative<objects::conflict>(second.get_future().get()));
}

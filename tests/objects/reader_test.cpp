#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/objects/reader.hpp"
#include "oriolefall/objects/writer.hpp"
#include "tests/objects/platform_fixture.hpp"

#include <future>
#include <map>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::platform_fixture;

namespace {

/// Follows a platform and keeps what the news tell.
class follower
{
public:
    explicit follower(platform_fixture& platform)
        : news_(64), client_(quick(platform)),
          reader_(
              settings(), client_.as_object_store(), [this] { client_.stop(); },
              [this](objects::store_news news) { news_.push(std::move(news)); })
    {
    }
    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;
    ~follower()
    {
        news_.close();
    }

    /// Takes news until `path` has `value`.
    void wait_for(const std::string& path, const std::string& value)
    {
        while (values_[path] != value)
            take_one();
    }

    void wait_for_outage()
    {
        while (!unreachable_)
            take_one();
    }

private:
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
        settings.backoff = {absl::Milliseconds(1), absl::Milliseconds(10)};
        return settings;
    }

    void take_one()
    {
        const auto news = news_.pop();
        cr_assert(news.has_value());
        std::visit([this](const auto& some) { keep(some); }, *news);
    }

    void keep(const objects::object_list& list)
    {
        for (const auto& object : list.objects)
            values_[object.path] = object.value;
    }

    void keep(const objects::object_changes& changes)
    {
        for (const auto& change : changes.changes)
            values_[change.path] = change.object ? change.object->value : "";
    }

    void keep(const objects::store_unreachable&)
    {
        unreachable_ = true;
    }

    core::bounded_ring<objects::store_news> news_;
    objects::client client_;
    objects::reader reader_;
    std::map<std::string, std::string> values_;
    bool unreachable_ = false;
};

void put(platform_fixture& platform, const std::string& path,
         const std::string& value)
{
    objects::client client(platform.settings());
    cr_assert(std::holds_alternative<objects::written>(
        client.put(path, value, objects::always{})));
}

} // namespace

Test(platform_reader, tells_what_is_there_and_what_changes)
{
    platform_fixture platform;
    put(platform, "/teams/a", R"({"v":1})");
    follower follow(platform);
    follow.wait_for("/teams/a", R"({"v":1})");
    put(platform, "/teams/b", R"({"v":2})");
    follow.wait_for("/teams/b", R"({"v":2})");
}

Test(platform_reader, hears_of_changes_while_watches_are_silent)
{
    platform_fixture platform;
    follower follow(platform);
    platform.set_faults(R"({"silent_watch":true})");
    put(platform, "/teams/a", R"({"v":1})");
    follow.wait_for("/teams/a", R"({"v":1})");
    put(platform, "/teams/a", R"({"v":2})");
    follow.wait_for("/teams/a", R"({"v":2})");
}

Test(platform_reader, hears_of_a_change_that_stale_lists_do_not_show)
{
    platform_fixture platform;
    put(platform, "/teams/a", R"({"v":1})");
    put(platform, "/teams/a", R"({"v":2})");
    platform.set_faults(R"({"stale_reads":true})");
    follower follow(platform);
    follow.wait_for("/teams/a", R"({"v":2})");
}

Test(platform_reader, lists_again_when_changes_were_forgotten)
{
    platform_fixture platform(2);
    for (int i = 0; i < 10; ++i)
        put(platform, "/teams/a", core::concat(R"({"v":)", i, "}"));
    put(platform, "/other", "{}");
    put(platform, "/other", "{}");
    put(platform, "/other", "{}");
    follower follow(platform);
    follow.wait_for("/teams/a", R"({"v":9})");
    put(platform, "/teams/a", R"({"v":10})");
    follow.wait_for("/teams/a", R"({"v":10})");
}

Test(platform_reader, says_that_the_platform_is_away_and_goes_on_after)
{
    platform_fixture platform;
    follower follow(platform);
    platform.set_faults(R"({"outage":true})");
    follow.wait_for_outage();
    platform.set_faults(R"({"outage":false})");
    put(platform, "/teams/a", R"({"v":1})");
    follow.wait_for("/teams/a", R"({"v":1})");
}

Test(platform_writer, carries_out_orders_in_order_and_tells_results)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    objects::writer writer(
        client.as_object_store(), [&] { client.stop(); }, 8);
    std::promise<objects::write_result> first;
    std::promise<objects::write_result> second;
    cr_assert(writer.submit(objects::put_order{
        "/teams/a", "{}", objects::if_absent{},
        [&](const auto& result) { first.set_value(result); }}));
    cr_assert(writer.submit(objects::put_order{
        "/teams/a", "{}", objects::if_absent{},
        [&](const auto& result) { second.set_value(result); }}));
    cr_assert(
        std::holds_alternative<objects::written>(first.get_future().get()));
    cr_assert(
        std::holds_alternative<objects::conflict>(second.get_future().get()));
}

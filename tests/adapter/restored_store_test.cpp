#include "oriolefall/follow/store_duty.hpp"
#include "platform/store_codec.hpp"
#include "tests/adapter/soak/store_server.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include <criterion/criterion.h>

using namespace oriolefall;
using nlohmann::json;

namespace {

const std::string settings = "config";
const std::string instances = "instances";
/// A test that gets no answer fails after this time.
constexpr std::chrono::seconds patience{20};

/// The stand-in of the users' store with a thread of its own.
class running_store
{
public:
    running_store() : store_(context_), thread_([this] { context_.run(); }) {}

    ~running_store()
    {
        context_.stop();
        thread_.join();
    }

    running_store(const running_store&) = delete;
    running_store& operator=(const running_store&) = delete;

    [[nodiscard]] core::endpoint endpoint() const
    {
        return {"127.0.0.1", store_.port()};
    }

    /// Runs the action on the thread of the store.
    template <class Action>
    auto with(Action action)
    {
        return asio::post(context_, asio::use_future([this, action] {
                              return action(store_);
                          }))
            .get();
    }

    void write_version(int version)
    {
        with([version](soak::store_server& store) {
            return store.put(settings, "main", {{"version", version}});
        });
    }

private:
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_ =
        asio::make_work_guard(context_);
    soak::store_server store_;
    std::thread thread_;
};

/// The store duty of an instance, and the settings that it told of last.
class following_instance
{
public:
    explicit following_instance(const core::endpoint& store)
        : duty_(duty_settings(store), platform::make_store_protocol(), hooks())
    {
        duty_.start({instances, "edge-1", R"({"callers":"here"})"});
    }

    bool wait_for_version(int version)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, patience,
                                 [&] { return version_ == version; });
    }

private:
    static follow::store_duty_settings
    duty_settings(const core::endpoint& store)
    {
        follow::store_duty_settings made;
        made.store = store;
        made.followed_collections = {{.collection = settings}};
        return made;
    }

    follow::store_duty_hooks hooks()
    {
        follow::store_duty_hooks made;
        made.on_changed = [this](const std::string&,
                                 const follow::collection_view& view) {
            const std::scoped_lock lock(mutex_);
            const auto main = view.objects.find("main");
            if (main != view.objects.end())
                version_ = json::parse(main->second.value)["version"];
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

    std::mutex mutex_;
    std::condition_variable changed_;
    int version_ = 0;
    follow::store_duty duty_;
};

} // namespace

// CONFIG: after a restore of the store no version came into force any more, as
// the revisions that it gave out again were lower than those known.
Test(restored_store, versions_after_it_come_into_force)
{
    running_store store;
    store.write_version(4);
    following_instance instance(store.endpoint());
    cr_assert(instance.wait_for_version(4));
    store.with([](soak::store_server& each) { each.copy(); });
    for (const int version : {8, 11})
        store.write_version(version);
    cr_assert(instance.wait_for_version(11));
    store.with([](soak::store_server& each) { each.restore(); });
    store.write_version(14);
    cr_assert(instance.wait_for_version(14));
}

// An instance that the store has forgotten is not found by those that start.
Test(restored_store, the_own_object_is_written_again)
{
    running_store store;
    store.with([](soak::store_server& each) { each.copy(); });
    following_instance instance(store.endpoint());
    const auto is_registered = [&store] {
        return store.with([](soak::store_server& each) {
            return !each.names_of(instances).empty();
        });
    };
    const auto wait_until_registered = [&] {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!is_registered() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return is_registered();
    };
    cr_assert(wait_until_registered());
    store.with([](soak::store_server& each) { each.restore(); });
    cr_assert_not(is_registered());
    cr_assert(wait_until_registered());
}

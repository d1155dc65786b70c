#include "oriolefall/follow/own_registration.hpp"

#include "tests/forward/scripted_server.hpp"

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;
using tests::scripted_connection;
using tests::scripted_server;

namespace {

const own_object own{"instances", "edge-1", R"({"callers":"10.1.0.1:80"})"};

/// A store that answers each call with success and remembers its first line.
class recording_store
{
public:
    recording_store()
        : server_(
              [this](scripted_connection& connection) { serve(connection); })
    {
    }

    [[nodiscard]] core::endpoint endpoint() const
    {
        return server_.endpoint();
    }

    /// Calls whose first line begins so.
    std::size_t count(const std::string& start)
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(
            std::ranges::count_if(calls_, [&start](const std::string& call) {
                return call.starts_with(start);
            }));
    }

private:
    void serve(scripted_connection& connection)
    {
        for (;;) {
            const std::string request = connection.read_request();
            if (request.empty())
                return;
            {
                const std::lock_guard lock(mutex_);
                calls_.push_back(request.substr(0, request.find('\r')));
            }
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        }
    }

    std::mutex mutex_;
    std::vector<std::string> calls_;
    scripted_server server_;
};

/// An instance that registers at a store whose lists hold these objects.
struct registering_instance
{
    explicit registering_instance(const std::vector<stored_object>& listed)
        : registration(
              context, store.endpoint(), fast_settings(), protocol(listed),
              {[this](const std::vector<stored_object>&) { ++list_count; },
               [](bool, const std::string&) {}})
    {
        registration.start(own);
    }

    static registration_settings fast_settings()
    {
        registration_settings settings;
        settings.early_list_interval = std::chrono::milliseconds(1);
        settings.list_interval = std::chrono::milliseconds(1);
        return settings;
    }

    static store_protocol protocol(const std::vector<stored_object>& listed)
    {
        store_protocol made;
        made.target = [](const read_call& call) {
            const auto& list = std::get<list_call>(call);
            return list.may_be_stale ? "/list-stale" : "/list";
        };
        made.parse = [listed](const read_call&, const store_answer&) {
            return list_page{listed, false, 9};
        };
        made.epoch = [](const store_answer&) { return std::nullopt; };
        made.put = [](const std::string&, const std::string& name,
                      const std::string& value) {
            return std::vector<store_request>{
                {http::verb::post, "/" + name, value}};
        };
        return made;
    }

    /// Runs until so many lists have been read.
    void run_until_lists(int count)
    {
        while (list_count < count)
            context.run_one();
    }

    asio::io_context context{1};
    recording_store store;
    int list_count = 0;
    own_registration registration;
};

} // namespace

Test(own_registration, an_unlisted_instance_writes_its_object_once)
{
    registering_instance instance({});
    // Lists may be older than the write.
    instance.run_until_lists(3);
    cr_assert_eq(instance.store.count("POST /edge-1"), 1);
    cr_assert_eq(instance.store.count("GET /list "), 0);
}

// Hundreds of instances that are killed together and start again find their
// objects in the store.
Test(own_registration, an_instance_that_is_listed_unchanged_writes_nothing)
{
    registering_instance instance({{own.name, 5, own.value}});
    instance.run_until_lists(4);
    cr_assert_eq(instance.store.count("POST"), 0);
}

Test(own_registration, a_changed_address_is_written)
{
    registering_instance instance({{own.name, 5, R"({"callers":"old"})"}});
    instance.run_until_lists(2);
    cr_assert_eq(instance.store.count("POST /edge-1"), 1);
}

// Another instance believed this one dead and removed its object.
Test(own_registration, a_removed_object_is_written_again)
{
    registering_instance instance({});
    instance.run_until_lists(6);
    cr_assert_geq(instance.store.count("POST /edge-1"), 2);
}

// What was written last is gone, and lists may still be older than the write.
Test(own_registration, the_own_object_is_written_again_after_a_restore)
{
    registering_instance instance({});
    instance.run_until_lists(2);
    cr_assert_eq(instance.store.count("POST /edge-1"), 1);
    instance.registration.on_store_restored(2);
    instance.run_until_lists(4);
    cr_assert_eq(instance.store.count("POST /edge-1"), 2);
}

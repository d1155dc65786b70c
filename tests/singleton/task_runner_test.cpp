#include "oriolefall/singleton/task_runner.hpp"

#include "tests/forward/scripted_server.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <variant>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::scripted_connection;
using tests::scripted_server;

namespace {

const duties::read_objects task{"oriolefall-duties"};

/// Runs the task against a store whose pages are all like this one.
duties::task_result read_pages_like(const follow::list_page& page,
                                    std::atomic<int>& calls)
{
    scripted_server server([&calls](scripted_connection& connection) {
        while (!connection.read_request().empty()) {
            ++calls;
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        }
    });
    singleton::duty_protocol protocol;
    protocol.list = [](const std::string&, const std::string&) {
        return follow::store_request{http::verb::get, "/list", {}};
    };
    protocol.parse_list = [&page](const follow::store_answer&) { return page; };
    protocol.epoch = [](const follow::store_answer&) { return 1; };
    asio::io_context context{1};
    const auto connection =
        std::make_shared<follow::store_connection>(context, server.endpoint());
    singleton::task_runner runner({}, protocol, {connection, connection});
    duties::task_result ended;
    runner.run(task, 1, nullptr,
               [&](const duties::task_result& result) { ended = result; });
    context.run();
    return ended;
}

} // namespace

// The list went on without a pause until it held 4,096 objects.
Test(task_runner, a_list_that_comes_again_is_a_failed_task)
{
    std::atomic<int> calls = 0;
    const auto ended = read_pages_like({{{"a", 1, "{}"}}, true, 10}, calls);
    cr_assert_eq(std::get<duties::task_failed>(ended).cause,
                 follow::stalled_list_cause);
    cr_assert_eq(calls, 2);
}

Test(task_runner, a_whole_list_is_read)
{
    std::atomic<int> calls = 0;
    const auto ended = read_pages_like({{{"a", 4, "{}"}}, false, 10}, calls);
    const auto& read = std::get<duties::objects_read>(ended);
    cr_assert_eq(read.objects.size(), 1);
    cr_assert_eq(read.objects[0].revision, 4);
    cr_assert_eq(read.epoch, 1);
}

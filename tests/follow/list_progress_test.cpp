// Lists and watches of a store whose answers bring nothing new.
#include "oriolefall/follow/collection_follower.hpp"
#include "oriolefall/follow/own_registration.hpp"
#include "tests/forward/scripted_server.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <variant>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;
using tests::scripted_connection;
using tests::scripted_server;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration played_time = absl::Seconds(10);
constexpr absl::Duration answer_time = absl::Milliseconds(2);

using answer_hook = std::function<call_result(const read_call&)>;

/// Calls that the follower makes in the played time, each answered at once.
int count_calls(collection_follower& follower, const answer_hook& answer)
{
    int calls = 0;
    absl::Time now = start;
    while (true) {
        const auto [call, call_at] = follower.next_call();
        now = std::max(now, call_at);
        if (now >= start + played_time)
            return calls;
        ++calls;
        follower.on_call_started(now);
        now += answer_time;
        follower.on_result(now, answer(call));
    }
}

/// The most calls that bring nothing, one for each delay.
int most_calls(absl::Duration delay)
{
    return static_cast<int>(played_time / delay) + 1;
}

const list_page first_page{{{"a", 1, "{}"}, {"b", 2, "{}"}}, true, 10};
const list_page whole_page{{{"a", 1, "{}"}}, false, 10};

/// Answers lists with the whole page, and watches with this.
answer_hook whole_list_then(const call_result& watch_answer)
{
    return [watch_answer](const read_call& call) -> call_result {
        if (std::holds_alternative<list_call>(call))
            return whole_page;
        return watch_answer;
    };
}

} // namespace

// The same page again and again was asked for without a pause: 212,000 calls in
// 10 s.
Test(list_progress, a_page_that_comes_again_is_a_failure_with_a_pause)
{
    const follower_settings settings{.collection = "servers"};
    collection_follower follower(settings);
    const int calls =
        count_calls(follower, [](const read_call&) { return first_page; });
    cr_assert_leq(calls, 2 * most_calls(settings.relist_delay));
    cr_assert(follower.is_unreachable());
    cr_assert_eq(follower.failure_cause(), stalled_list_cause);
    cr_assert_not(follower.is_synced());
    // What it holds is used meanwhile.
    cr_assert_eq(follower.view().objects.size(), 2);
}

Test(list_progress, pages_in_a_circle_are_a_failure_too)
{
    const follower_settings settings{.collection = "servers"};
    collection_follower follower(settings);
    const list_page other_page{{{"c", 3, "{}"}}, true, 10};
    int pages = 0;
    const int calls = count_calls(follower, [&](const read_call&) {
        return ++pages % 2 == 1 ? first_page : other_page;
    });
    cr_assert_leq(calls, 3 * most_calls(settings.relist_delay));
}

Test(list_progress, a_list_that_stalled_begins_anew_and_ends)
{
    collection_follower follower({.collection = "servers"});
    follower.on_result(start, first_page);
    follower.on_result(start, first_page);
    cr_assert(follower.is_unreachable());
    const auto next = follower.next_call().first;
    cr_assert(std::get<list_call>(next).after.empty());
    follower.on_result(start, whole_page);
    cr_assert(follower.is_synced());
    cr_assert_not(follower.is_unreachable());
    cr_assert(follower.failure_cause().empty());
    cr_assert_not(follower.view().objects.contains("b"));
}

// Names without end filled the memory, page after page.
Test(list_progress, pages_without_end_are_a_failure)
{
    paged_list list;
    std::size_t pages = 0;
    const auto next_page = [&pages] {
        return list_page{{{std::to_string(pages++), 1, "{}"}}, true, 10};
    };
    while (list.add(next_page()) == list_progress::more)
        cr_assert_leq(pages, max_listed_objects);
    cr_assert_eq(list.objects().size(), max_listed_objects + 1);
}

// A page of entries whose names can't be read names nothing to go on from.
Test(list_progress, a_page_without_names_is_retried_with_backoff)
{
    const follower_settings settings{.collection = "servers"};
    collection_follower follower(settings);
    const int calls =
        count_calls(follower, [](const read_call&) -> call_result {
            return call_failed{"list that names nothing to go on from"};
        });
    // The delays double up to the longest.
    constexpr int doublings = 4;
    cr_assert_leq(calls, doublings + most_calls(settings.max_backoff));
}

// Each list was followed by a watch that said 410, without a pause.
Test(list_progress, a_history_that_is_always_gone_is_listed_with_pauses)
{
    const follower_settings settings{.collection = "servers"};
    collection_follower follower(settings);
    const int calls = count_calls(follower, whole_list_then(history_gone{}));
    cr_assert_leq(calls, 2 * most_calls(settings.relist_delay));
}

// Watches were repeated as fast as the store answered them.
Test(list_progress, watches_that_bring_nothing_at_once_have_pauses)
{
    const follower_settings settings{.collection = "servers"};
    collection_follower follower(settings);
    const int calls =
        count_calls(follower, whole_list_then(change_list{{}, 10}));
    cr_assert_leq(calls, 1 + most_calls(settings.batch_delay));
}

// A watch that waited for its time is followed by the next one at once.
Test(list_progress, a_watch_that_waited_is_repeated_at_once)
{
    collection_follower follower({.collection = "servers"});
    follower.on_result(start, whole_page);
    follower.on_call_started(start);
    const absl::Time end = start + absl::Seconds(2);
    follower.on_result(end, change_list{{}, 10});
    cr_assert_leq(follower.next_call().second, end);
}

namespace {

/// A store that answers each call, and counts them.
class counting_store
{
public:
    counting_store()
        : server_([this](scripted_connection& connection) {
              while (!connection.read_request().empty()) {
                  ++calls_;
                  connection.write(
                      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
              }
          })
    {
    }

    [[nodiscard]] core::endpoint endpoint() const
    {
        return server_.endpoint();
    }

    [[nodiscard]] int calls() const
    {
        return calls_;
    }

private:
    std::atomic<int> calls_ = 0;
    scripted_server server_;
};

/// Hooks of a protocol whose lists have the page that `page` gives.
store_protocol protocol_with(const std::function<list_page()>& page)
{
    store_protocol protocol;
    protocol.target = [](const read_call&) { return "/list"; };
    protocol.parse = [page](const read_call&, const store_answer&) {
        return page();
    };
    protocol.epoch = [](const store_answer&) { return std::nullopt; };
    protocol.put = [](const auto&, const auto&, const auto& value) {
        return std::vector<store_request>{{http::verb::post, "/", value}};
    };
    return protocol;
}

} // namespace

// The list of instances went round some 200,000 times in 10 s.
Test(list_progress, the_list_of_instances_that_goes_round_has_pauses)
{
    counting_store store;
    asio::io_context context{1};
    const registration_settings settings;
    own_registration registration(
        context, store.endpoint(), settings,
        protocol_with([] { return first_page; }),
        {[](const auto&) { cr_assert(false); }, [](bool, const auto&) {}});
    registration.start({"instances", "edge-1", "{}"});
    constexpr int rounds = 3;
    context.run_for(rounds * settings.retry_delay);
    cr_assert_leq(store.calls(), 2 * (rounds + 1));
}

// An instance that did not register had no word for it in its log.
Test(list_progress, a_list_of_instances_that_fails_is_told_once_with_its_end)
{
    counting_store store;
    asio::io_context context{1};
    registration_settings settings;
    settings.retry_delay = std::chrono::milliseconds(1);
    std::vector<std::string> told;
    int pages = 0;
    own_registration registration(
        context, store.endpoint(), settings, protocol_with([&pages] {
            constexpr int stalled_pages = 6;
            return ++pages <= stalled_pages ? first_page : whole_page;
        }),
        {[&context](const auto&) { context.stop(); },
         [&told](bool is_unreachable, const std::string& cause) {
             told.push_back(is_unreachable ? "lost: " + cause : "back");
         }});
    registration.start({"instances", "edge-1", "{}"});
    context.run_for(std::chrono::seconds(20));
    const std::vector<std::string> expected{
        std::string("lost: ") + stalled_list_cause, "back"};
    cr_assert(told == expected);
}

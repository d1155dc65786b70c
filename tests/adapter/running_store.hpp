#ifndef ORIOLEFALL_TESTS_ADAPTER_RUNNING_STORE_HPP
#define ORIOLEFALL_TESTS_ADAPTER_RUNNING_STORE_HPP

#include "oriolefall/core/backend_server.hpp"
#include "tests/adapter/soak/store_server.hpp"

#include <chrono>
#include <set>
#include <string>
#include <thread>

namespace oriolefall::tests {

/// A test that gets no answer fails after this time.
inline constexpr std::chrono::seconds patience{20};

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

    [[nodiscard]] std::set<std::string> names_of(const std::string& kind)
    {
        const auto names =
            with([&](soak::store_server& each) { return each.names_of(kind); });
        return {names.begin(), names.end()};
    }

    /// Whether the names of a kind pass the check before long.
    template <class Check>
    bool wait_for_names(const std::string& kind, Check check)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!check(names_of(kind)) && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return check(names_of(kind));
    }

private:
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_ =
        asio::make_work_guard(context_);
    soak::store_server store_;
    std::thread thread_;
};

} // namespace oriolefall::tests

#endif

#ifndef ORIOLEFALL_TESTS_ADAPTER_RUNNING_STORE_HPP
#define ORIOLEFALL_TESTS_ADAPTER_RUNNING_STORE_HPP

#include "oriolefall/core/backend_server.hpp"
#include "tests/adapter/soak/store_server.hpp"

#include <thread>

namespace oriolefall::tests {

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

private:
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_ =
        asio::make_work_guard(context_);
    soak::store_server store_;
    std::thread thread_;
};

} // namespace oriolefall::tests

#endif

#ifndef ORIOLEFALL_SINGLETON_TASK_RUNNER_HPP
#define ORIOLEFALL_SINGLETON_TASK_RUNNER_HPP

#include "oriolefall/duties/planner.hpp"
#include "oriolefall/follow/paged_list.hpp"
#include "oriolefall/follow/store_connection.hpp"
#include "oriolefall/singleton/duty_protocol.hpp"
#include "oriolefall/singleton/singleton_settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace oriolefall::singleton {

/// The connections of a task runner.
struct task_connections
{
    std::shared_ptr<follow::store_connection> store;
    std::shared_ptr<follow::store_connection> provider;
};

/// Runs tasks of planners, one at a time. Called on the thread of the duties.
class task_runner
{
public:
    using result_hook = std::function<void(const duties::task_result&)>;

    /// `protocol` has to outlive this object.
    task_runner(const singleton_settings& settings,
                const duty_protocol& protocol, task_connections connections);

    /// `may_send` is asked right before the bytes of a provider call are
    /// written. `on_result` is called once, not from within this call.
    void run(const duties::task& task, std::uint64_t fencing_number,
             follow::store_connection::send_check may_send,
             result_hook on_result);

private:
    void start(const duties::read_objects& task);
    void start(const duties::write_object& task);
    void start(const duties::provider_call& task);
    /// `more`, `complete`, or why the page can't be used.
    using page_result =
        std::variant<follow::list_progress, duties::task_failed>;

    void read_page();
    void on_page(const follow::store_result& result);
    [[nodiscard]] page_result add_page(const follow::store_answer& answer);
    [[nodiscard]] duties::objects_read listed_objects() const;
    void finish(
        const follow::store_result& result,
        const std::function<duties::task_result(const follow::store_answer&)>&
            parse);
    void end(const duties::task_result& result);

    core::instance_id instance_;
    std::chrono::milliseconds answer_timeout_;
    std::size_t max_objects_;
    const duty_protocol& protocol_;
    task_connections connections_;
    std::uint64_t fencing_number_ = 0;
    follow::store_connection::send_check may_send_;
    result_hook on_result_;
    /// The collection that is being read, and its pages so far.
    std::string collection_;
    follow::paged_list list_;
    /// Epoch of the store in the first page.
    std::optional<std::uint64_t> list_epoch_;
};

} // namespace oriolefall::singleton

#endif

#ifndef ORIOLEFALL_OBJECTS_STORE_WRITER_HPP
#define ORIOLEFALL_OBJECTS_STORE_WRITER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/objects/object_store.hpp"

#include <functional>
#include <string>
#include <variant>

namespace oriolefall::objects {

/// Takes the result of a write on the writer's thread; must not block for long.
using write_callback = std::function<void(const write_result&)>;

struct put_task
{
    std::string path;
    /// Text of a JSON object.
    std::string value;
    write_condition condition;
    write_callback on_done;
};

struct remove_task
{
    std::string path;
    write_condition condition;
    write_callback on_done;
};

struct announce_task
{
    listed_instance self;
    write_callback on_done;
};

using write_task = std::variant<put_task, remove_task, announce_task>;
using write_task_ring = core::bounded_ring<write_task>;

/// Executes writes one at a time, in the order of submission, and reports each
/// result. Has a thread of its own.
class store_writer
{
public:
    /// `stop_store` ends a call of `store` that is in progress.
    store_writer(object_store store, std::function<void()> stop_store,
                 std::size_t capacity);
    store_writer(const store_writer&) = delete;
    store_writer& operator=(const store_writer&) = delete;
    /// Fails the queued tasks as stopped, and joins the thread.
    ~store_writer();

    /// Never blocks. Returns false when the queue is full; `on_done` is then
    /// not called.
    [[nodiscard]] bool submit(write_task task);

private:
    void run();
    void execute(const put_task& task);
    void execute(const remove_task& task);
    void execute(const announce_task& task);

    object_store store_;
    std::function<void()> stop_store_;
    write_task_ring tasks_;
    core::duty_thread thread_;
};

} // namespace oriolefall::objects

#endif

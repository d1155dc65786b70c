#include "oriolefall/objects/store_writer.hpp"

#include <utility>

namespace oriolefall::objects {

store_writer::store_writer(object_store store, std::function<void()> stop_store,
                           std::size_t capacity)
    : store_(std::move(store)), stop_store_(std::move(stop_store)),
      tasks_(capacity), thread_("platform-write", [this] { run(); })
{
}

store_writer::~store_writer()
{
    tasks_.close();
    stop_store_();
    thread_.join();
}

bool store_writer::submit(write_task task)
{
    return tasks_.try_push(std::move(task));
}

void store_writer::run()
{
    while (const auto task = tasks_.pop())
        std::visit([this](const auto& each) { execute(each); }, *task);
}

void store_writer::execute(const put_task& task)
{
    task.on_done(store_.put(task.path, task.value, task.condition));
}

void store_writer::execute(const remove_task& task)
{
    task.on_done(store_.remove(task.path, task.condition));
}

void store_writer::execute(const announce_task& task)
{
    task.on_done(store_.announce(task.self));
}

} // namespace oriolefall::objects

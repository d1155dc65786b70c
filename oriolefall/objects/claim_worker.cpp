#include "oriolefall/objects/claim_worker.hpp"

#include <functional>
#include <utility>

namespace oriolefall::objects {

claim_worker::claim_worker(object_store store, std::function<void()> stop_store,
                           std::string holder, std::size_t capacity,
                           key_claimed_hook on_claimed,
                           outcome_recorded_hook on_recorded)
    : claims_(std::move(store), std::move(holder)),
      stop_store_(std::move(stop_store)), on_claimed_(std::move(on_claimed)),
      on_recorded_(std::move(on_recorded)), tasks_(capacity),
      thread_("platform-claim", [this] { run(); })
{
}

claim_worker::~claim_worker()
{
    tasks_.close();
    stop_store_();
    thread_.join();
}

bool claim_worker::submit(claim_task task)
{
    return tasks_.try_push(std::move(task));
}

std::size_t claim_worker::worker_index(const claim_task& task,
                                       std::size_t worker_count)
{
    const std::string path = std::visit(
        [](const auto& each) {
            return claim_store::path_of(each.workspace, each.key);
        },
        task);
    return std::hash<std::string>{}(path) % worker_count;
}

void claim_worker::run()
{
    while (const auto task = tasks_.pop())
        std::visit([this](const auto& each) { execute(each); }, *task);
}

void claim_worker::execute(const decision::claim_key& task)
{
    on_claimed_({task.request, claims_.claim(task.workspace, task.key)});
}

void claim_worker::execute(const decision::record_outcome& task)
{
    on_recorded_(claims_.record(task.workspace, task.key, task.verdict));
}

} // namespace oriolefall::objects

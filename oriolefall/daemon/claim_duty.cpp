#include "oriolefall/daemon/claim_duty.hpp"

#include <absl/strings/str_cat.h>

namespace oriolefall::daemon {

namespace {

/// Maximum number of tasks queued for one worker.
constexpr std::size_t worker_queue_capacity = 256;

} // namespace

claim_duty::claim_duty(
    const platform_access& access, std::size_t worker_count,
    const objects::claim_worker::key_claimed_hook& on_claimed)
{
    workers_.reserve(worker_count);
    for (std::size_t number = 0; number < worker_count; ++number)
        workers_.push_back(make_worker(access, number, on_claimed));
}

bool claim_duty::submit(const objects::claim_task& task)
{
    const std::size_t index =
        objects::claim_worker::worker_index(task, workers_.size());
    return workers_[index].task_worker->submit(task);
}

claim_duty::worker claim_duty::make_worker(
    const platform_access& access, std::size_t number,
    const objects::claim_worker::key_claimed_hook& on_claimed)
{
    const std::string duty = absl::StrCat("claim", number);
    auto client =
        std::make_unique<objects::client>(make_client_settings(access, duty));
    const auto record_result = [report = access.report](bool kept) {
        const std::string result = kept ? "kept" : "not_kept";
        report(
            observe::counter_added{"claim_outcomes_total", "result", result});
    };
    const std::string holder =
        absl::StrCat(access.instance.value(), "/", access.incarnation);
    objects::client& object_client = *client;
    auto task_worker = std::make_unique<objects::claim_worker>(
        object_client.as_object_store(),
        [&object_client] { object_client.stop(); }, holder,
        worker_queue_capacity, on_claimed, record_result);
    return {std::move(client), std::move(task_worker)};
}

} // namespace oriolefall::daemon

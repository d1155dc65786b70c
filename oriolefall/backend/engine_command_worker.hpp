#ifndef ORIOLEFALL_BACKEND_ENGINE_COMMAND_WORKER_HPP
#define ORIOLEFALL_BACKEND_ENGINE_COMMAND_WORKER_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace oriolefall::backend {

/// A model engine's answer to a command.
enum class command_result : std::uint8_t
{
    loading,
    loaded,
    refused, ///< the command's fencing number was outdated (HTTP 409)
    failed   ///< no answer, an error answer, or not sent before its deadline
};

/// Makes an engine load a model. Idempotent.
struct load_model_command
{
    core::endpoint endpoint;
    core::model_name model;
    std::uint64_t fencing_number = 0;
    /// Deadline for sending; the command fails when it has passed.
    absl::Time send_before = absl::InfiniteFuture();
    /// Called on the worker's thread; must not block.
    std::function<void(command_result)> on_result;
};

/// Asks an engine for its number of running and queued requests.
struct load_query
{
    core::endpoint endpoint;
    /// Called on the worker's thread if the engine answers; must not block.
    std::function<void(std::uint64_t running)> on_answer;
};

using engine_command = std::variant<load_model_command, load_query>;

/// Sends commands to engines one after the other, on a thread of its own.
class engine_command_worker
{
public:
    /// `capacity`: maximum number of queued commands. `timeout`: for each of
    /// connecting, sending and receiving.
    engine_command_worker(std::size_t capacity, absl::Duration timeout);
    engine_command_worker(const engine_command_worker&) = delete;
    engine_command_worker& operator=(const engine_command_worker&) = delete;
    /// Drops the queued commands.
    ~engine_command_worker();

    /// Queues a command. Never blocks. Returns false if the queue is full; the
    /// command's callback is then not called.
    bool submit(engine_command command);

private:
    void run();
    void execute(const load_model_command& command) const;
    void execute(const load_query& query) const;

    absl::Duration timeout_;
    core::bounded_ring<engine_command> commands_;
    core::duty_thread thread_;
};

} // namespace oriolefall::backend

#endif

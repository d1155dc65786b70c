#ifndef ORIOLEFALL_STAND_INS_ENGINE_SCHEDULER_HPP
#define ORIOLEFALL_STAND_INS_ENGINE_SCHEDULER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "stand_ins/engine_batch.hpp"
#include "stand_ins/engine_models.hpp"

#include <optional>

namespace oriolefall::stand_ins {

/// The thread that owns an engine's state. It takes commands from the HTTP
/// workers through a ring and ends one step of the batch after the other.
class engine_scheduler
{
public:
    explicit engine_scheduler(const engine_settings& settings);
    engine_scheduler(const engine_scheduler&) = delete;
    engine_scheduler& operator=(const engine_scheduler&) = delete;
    ~engine_scheduler();

    /// Any thread; blocks while the ring is full. False once it is closed.
    bool send(engine_command command);

    /// Sends the command made for a reply ring and waits for the reply;
    /// nothing once the scheduler has ended. Any thread.
    template <class T, class MakeCommand>
    std::optional<T> ask(const MakeCommand& make_command)
    {
        auto reply = std::make_shared<core::bounded_ring<T>>(1);
        if (!send(make_command(reply)))
            return std::nullopt;
        return reply->pop();
    }

private:
    void run();
    void apply(absl::Time now, submit_stream& command);
    void apply(absl::Time now, cancel_stream& command);
    void apply(absl::Time now, ask_order& command);
    void apply(absl::Time now, ask_models& command);
    void apply(absl::Time now, ask_load& command);
    void apply(absl::Time now, ask_stats& command);
    void apply(absl::Time now, change_faults& command);

    engine_batch batch_;
    engine_models models_;
    core::bounded_ring<engine_command> commands_;
    core::duty_thread thread_;
};

} // namespace oriolefall::stand_ins

#endif

#ifndef ORIOLEFALL_STAND_INS_PLATFORM_THREAD_HPP
#define ORIOLEFALL_STAND_INS_PLATFORM_THREAD_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "stand_ins/platform_desk.hpp"

namespace oriolefall::stand_ins {

/// Faults and counters at one moment.
struct platform_report
{
    platform_faults faults;
    platform_stats stats;
    std::partial_ordering operator<=>(const platform_report&) const = default;
};

/// The thread that owns the platform's state; HTTP workers reach it through
/// a ring. Members may be called from any thread.
class platform_thread
{
public:
    /// `history`: changes that a watch can still be told.
    explicit platform_thread(std::size_t history);
    platform_thread(const platform_thread&) = delete;
    platform_thread& operator=(const platform_thread&) = delete;
    ~platform_thread();

    /// Blocks while the ring is full; false once it is closed.
    bool send(platform_call call);
    /// Changes the faults in force, or nothing when `change` is empty.
    platform_report change_faults(std::function<void(platform_faults&)> change);

private:
    struct control
    {
        std::function<void(platform_faults&)> change;
        std::shared_ptr<core::bounded_ring<platform_report>> reply;
    };
    using command = std::variant<platform_call, control>;

    void run();
    void apply(absl::Time now, platform_call& call);
    void apply(absl::Time now, control& what);

    platform_desk desk_;
    core::bounded_ring<command> commands_;
    core::duty_thread thread_;
};

} // namespace oriolefall::stand_ins

#endif

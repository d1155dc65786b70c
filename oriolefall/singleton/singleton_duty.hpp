#ifndef ORIOLEFALL_SINGLETON_SINGLETON_DUTY_HPP
#define ORIOLEFALL_SINGLETON_SINGLETON_DUTY_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/duties/planner.hpp"
#include "oriolefall/net/beast.hpp"
#include "oriolefall/singleton/duty_protocol.hpp"
#include "oriolefall/singleton/lease_client.hpp"
#include "oriolefall/singleton/object_publisher.hpp"
#include "oriolefall/singleton/singleton_settings.hpp"
#include "oriolefall/singleton/task_runner.hpp"
#include "oriolefall/singleton/token_bucket.hpp"

#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::singleton {

enum class lease_change : std::uint8_t
{
    acquired,
    lost,
    released
};

/// A call to the provider that has ended.
struct provider_call_record
{
    /// Name of the planner.
    std::string duty;
    duties::provider_call call;
    std::uint64_t fencing_number = 0;
    duties::task_result result;
    auto operator<=>(const provider_call_record&) const = default;
};

/// Notifications of the duty. Called on its thread; must not block.
struct singleton_hooks
{
    /// Time of the lease: monotonic, counts suspended time. Thread-safe.
    core::clock_hook clock = core::boot_now;
    std::function<void(lease_change, std::uint64_t fencing_number)>
        on_lease_changed;
    std::function<void(const provider_call_record&)> on_provider_call;
    /// The store has answered in this epoch. May be empty.
    std::function<void(std::uint64_t epoch)> on_store_epoch;
    /// What this instance publishes, also without the lease.
    publisher_hooks publisher;
};

/// The duties that one instance at a time performs: keeps the lease, and runs
/// the planners while it is held. Has a thread of its own.
class singleton_duty
{
public:
    singleton_duty(singleton_settings settings, duty_protocol protocol,
                   singleton_hooks hooks,
                   std::vector<duties::planner> planners);
    ~singleton_duty();
    singleton_duty(const singleton_duty&) = delete;
    singleton_duty& operator=(const singleton_duty&) = delete;

    void start();
    void stop();
    /// Whether this instance may acquire the lease. One that may no longer
    /// releases it. Thread-safe.
    void set_candidate(bool is_candidate);
    /// Releases the lease for good. A failed call is not retried, and `stop`
    /// aborts it. Thread-safe.
    void leave();
    /// Runs `input` on the thread of the duty, such as for the input of a
    /// planner. Never blocks; returns false if the ring is full. Thread-safe.
    bool post(std::function<void()> input);

private:
    void process_inputs();
    /// Does what is due, and sets the timer for what is next.
    void step();
    void update_candidate();
    [[nodiscard]] bool may_release(absl::Time now) const;
    /// Tells planners and hooks what became of the lease.
    void note_lease(absl::Time now);
    [[nodiscard]] bool may_act(absl::Time now) const;
    void start_task(absl::Time now);
    void run_task(std::size_t planner, const duties::task& task);
    /// `acquisition`: value of `acquisitions_` when the task was started.
    void on_task_ended(std::size_t planner, std::uint64_t acquisition,
                       const duties::task& task,
                       const duties::task_result& result);
    /// Whether a provider call may be written now, under this number.
    [[nodiscard]] bool check_send(std::uint64_t fencing_number);
    [[nodiscard]] absl::Time next_task_at(absl::Time now) const;
    void schedule(absl::Time now);

    singleton_settings settings_;
    duty_protocol protocol_;
    singleton_hooks hooks_;
    std::vector<duties::planner> planners_;
    asio::io_context context_{1};
    lease_client lease_;
    task_runner runner_;
    token_bucket bucket_;
    object_publisher publisher_;
    asio::steady_timer timer_;
    core::bounded_ring<std::function<void()>> inputs_;
    std::atomic<bool> is_wakeup_pending_ = false;
    /// What others have asked for.
    std::atomic<bool> is_candidate_ = false;
    std::atomic<bool> is_leaving_ = false;
    /// Set while the lease is held, as far as planners know.
    std::optional<std::uint64_t> announced_number_;
    bool is_releasing_ = false;
    std::uint64_t acquisitions_ = 0;
    bool is_task_running_ = false;
    /// Whether bytes of the current provider call may have been written.
    bool was_sent_ = false;
    /// Until then a provider call without an answer may still be under way.
    absl::Time unanswered_until_ = absl::InfinitePast();
    std::size_t next_planner_ = 0;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::singleton

#endif

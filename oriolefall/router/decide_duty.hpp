#ifndef ORIOLEFALL_ROUTER_DECIDE_DUTY_HPP
#define ORIOLEFALL_ROUTER_DECIDE_DUTY_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/dispatch/dispatcher.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

namespace oriolefall::router {

/// The duty that decides: owns the dispatcher, joined to the others by rings.
class decide_duty
{
public:
    struct hooks
    {
        /// Orders the forwarding duty; false when it has no room now.
        std::function<bool(const dispatch::action&)> order;
        std::function<void(const dispatch::decision_record&)> note;
        std::function<void(const dispatch::ejection_change&)> server_note;
        /// Tells the other instances; may be lost.
        std::function<void(const dispatch::load_report&)> tell_load;
    };

    decide_duty(dispatch::dispatch_settings settings,
                dispatch::dispatch_hooks dispatch, hooks hooks,
                std::size_t capacity);
    ~decide_duty();
    decide_duty(const decide_duty&) = delete;
    decide_duty& operator=(const decide_duty&) = delete;

    void start();
    void stop();
    /// Never blocks; false when there is no room. Any thread.
    [[nodiscard]] bool tell(dispatch::event event);

private:
    void run();
    void carry_out();

    dispatch::dispatcher dispatcher_;
    hooks hooks_;
    core::bounded_ring<dispatch::event> events_;
    /// Orders that the forwarding duty had no room for yet.
    std::deque<dispatch::action> late_;
    std::vector<dispatch::action> actions_;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::router

#endif

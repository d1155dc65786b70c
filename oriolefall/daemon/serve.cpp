#include "oriolefall/daemon/serve.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/daemon/instance.hpp"
#include "oriolefall/observe/json_log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <optional>

namespace oriolefall::daemon {

namespace {

/// Interval at which a stopping instance checks whether its last request has
/// finished.
constexpr absl::Duration drain_check_interval = absl::Milliseconds(50);

/// Blocks SIGTERM and SIGINT in this thread and those started from it, and
/// waits for them.
class stop_signals
{
public:
    stop_signals()
    {
        sigemptyset(&set_);
        sigaddset(&set_, SIGTERM);
        sigaddset(&set_, SIGINT);
        pthread_sigmask(SIG_BLOCK, &set_, nullptr);
    }

    void wait() const
    {
        int received = 0;
        sigwait(&set_, &received);
    }

    /// True when a signal was received within `timeout`.
    [[nodiscard]] bool wait_for(absl::Duration timeout) const
    {
        const timespec time =
            absl::ToTimespec(std::max(timeout, absl::ZeroDuration()));
        return sigtimedwait(&set_, nullptr, &time) > 0;
    }

private:
    sigset_t set_{};
};

/// Waits until no request is open. False when a signal or the deadline came
/// first.
bool drain(const instance& running, const stop_signals& signals,
           absl::Time deadline)
{
    while (running.open_requests() > 0) {
        if (core::monotonic_now() >= deadline ||
            signals.wait_for(drain_check_interval))
            return false;
    }
    return true;
}

void stop_gracefully(instance& running, const stop_signals& signals,
                     const settings::instance_settings& settings)
{
    const absl::Time deadline =
        core::monotonic_now() + settings.shutdown_deadline;
    running.log(observe::log_level::info, "leaving");
    running.leave();
    const absl::Duration lifetime =
        std::min(settings.address_lifetime, settings.shutdown_deadline);
    const bool is_interrupted = signals.wait_for(lifetime);
    running.refuse_new_requests();
    const bool is_drained =
        !is_interrupted && drain(running, signals, deadline);
    const std::size_t open_requests = running.open_requests();
    if (!is_drained)
        running.log(
            observe::log_level::warning,
            absl::StrCat("stopped with open requests: ", open_requests));
    running.log(observe::log_level::info, "stopped");
}

observe::log_level min_log_level(settings::log_level level)
{
    return static_cast<observe::log_level>(level);
}

} // namespace

int serve(const instance_options& options)
{
    // A caller that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const stop_signals signals;
    observe::set_up_log(min_log_level(options.settings.log_level));
    instance running(options);
    if (!running.start()) {
        std::cerr << "oriolefall: cannot listen on "
                  << options.settings.listen.address << ":"
                  << options.settings.listen.port << "\n";
        return EXIT_FAILURE;
    }
    std::cout << R"({"listening":")" << options.settings.listen.address
              << R"(","port":)" << running.port() << "}" << std::endl;
    signals.wait();
    stop_gracefully(running, signals, options.settings);
    return EXIT_SUCCESS;
}

} // namespace oriolefall::daemon

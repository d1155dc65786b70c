#include "oriolefall/router/run.hpp"

#include "oriolefall/router/router.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace oriolefall::router {

namespace {

/// Callers may keep addresses three times as long as they were told.
constexpr double kept_lifetimes = 3;
/// Added, so that the last answers given out have lapsed everywhere.
constexpr absl::Duration lapse_margin = absl::Milliseconds(300);
/// Left of the grace time for the end of the process.
constexpr absl::Duration end_margin = absl::Milliseconds(250);
constexpr std::chrono::milliseconds drain_check{50};

/// The duty of the main thread: signals, and the steps of a graceful stop.
class main_duty
{
public:
    main_duty(const router_settings& settings, router& running,
              const reload_hook& reload)
        : settings_(settings), running_(running), reload_(reload)
    {
    }

    void run()
    {
        signals_.add(SIGTERM);
        signals_.add(SIGINT);
        signals_.add(SIGHUP);
        wait();
        context_.run();
    }

private:
    void wait()
    {
        signals_.async_wait([this](const error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                begin_stop();
            wait();
        });
    }

    void reload()
    {
        const reload_result result = reload_();
        running_.log().write("reload", {{"outcome", result.outcome}});
        if (result.repeats)
            running_.set_repeats(*result.repeats);
    }

    void begin_stop()
    {
        if (std::exchange(stopping_, true))
            return;
        stop_at_ = std::chrono::steady_clock::now() +
                   absl::ToChronoMilliseconds(settings_.grace - end_margin);
        running_.leave();
        const absl::Duration first = settings_.address_lifetime + lapse_margin;
        after(first, [this] { running_.stop_taking(false); });
        after(settings_.address_lifetime * kept_lifetimes + lapse_margin,
              [this] {
                  running_.stop_taking(true);
                  drain();
              });
    }

    void drain()
    {
        if (!running_.has_open_requests() ||
            std::chrono::steady_clock::now() >= stop_at_) {
            // What was written last is on its way still.
            after(lapse_margin, [this] { context_.stop(); });
            return;
        }
        drain_timer_.expires_after(drain_check);
        drain_timer_.async_wait([this](const error_code& stopped) {
            if (!stopped)
                drain();
        });
    }

    void after(absl::Duration time, std::function<void()> work)
    {
        const auto timer = std::make_shared<asio::steady_timer>(context_);
        timer->expires_after(absl::ToChronoMilliseconds(time));
        timer->async_wait(
            [timer, work = std::move(work)](const error_code& stopped) {
                if (!stopped)
                    work();
            });
    }

    const router_settings& settings_;
    router& running_;
    const reload_hook& reload_;
    asio::io_context context_{1};
    asio::signal_set signals_{context_};
    asio::steady_timer drain_timer_{context_};
    std::chrono::steady_clock::time_point stop_at_;
    bool stopping_ = false;
};

} // namespace

int run(const router_settings& settings, const router_hooks& hooks,
        const reload_hook& reload)
{
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    router running(settings, hooks);
    if (!running.start()) {
        std::cerr << "oriolefall: cannot listen at the addresses of the "
                     "settings\n";
        return EXIT_FAILURE;
    }
    main_duty(settings, running, reload).run();
    running.log().write("stopped", {});
    running.stop();
    return EXIT_SUCCESS;
}

} // namespace oriolefall::router

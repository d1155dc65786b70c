#include "oriolefall/router/run.hpp"

#include "oriolefall/router/router.hpp"
#include "oriolefall/settings/endpoint_text.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

namespace oriolefall::router {

namespace {

/// Callers may use addresses for up to three times the advertised lifetime.
constexpr double max_lifetime_factor = 3;
/// Added so that the addresses in the last answers have expired at all callers.
constexpr absl::Duration expiry_margin = absl::Milliseconds(300);
/// Time to send what was written last.
constexpr absl::Duration last_write_time = absl::Milliseconds(300);
/// Part of the shutdown timeout that is reserved for the exit of the process.
constexpr absl::Duration exit_margin = absl::Milliseconds(250);
constexpr std::chrono::milliseconds drain_check_interval{50};

/// Duty of the main thread: handles signals and carries out the steps of a
/// graceful shutdown.
class main_duty
{
public:
    main_duty(const router_settings& settings, router& instance,
              const reload_hook& reload)
        : settings_(settings), router_(instance), reload_(reload)
    {
    }

    void run()
    {
        signals_.add(SIGTERM);
        signals_.add(SIGINT);
        signals_.add(SIGHUP);
        wait_for_signal();
        context_.run();
    }

private:
    void wait_for_signal()
    {
        signals_.async_wait([this](const error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                begin_shutdown();
            wait_for_signal();
        });
    }

    void reload()
    {
        const reload_result result = reload_();
        router_.log().write("reload", {{"outcome", result.outcome}});
        if (result.retry_budget)
            router_.set_retry_budget(*result.retry_budget);
    }

    void begin_shutdown()
    {
        if (std::exchange(is_stopping_, true))
            return;
        drain_deadline_ =
            std::chrono::steady_clock::now() +
            absl::ToChronoMilliseconds(settings_.shutdown_timeout -
                                       last_write_time - exit_margin);
        router_.leave();
        const absl::Duration accept_time =
            settings_.address_lifetime + expiry_margin;
        run_after(accept_time, [this] { router_.stop_accepting(false); });
        run_after(settings_.address_lifetime * max_lifetime_factor +
                      expiry_margin,
                  [this] {
                      router_.stop_accepting(true);
                      finish_when_drained();
                  });
    }

    void finish_when_drained()
    {
        if (!router_.has_open_connections()) {
            context_.stop();
            return;
        }
        if (std::chrono::steady_clock::now() >= drain_deadline_) {
            router_.give_up_requests();
            run_after(last_write_time, [this] { context_.stop(); });
            return;
        }
        drain_timer_.expires_after(drain_check_interval);
        drain_timer_.async_wait([this](const error_code& error) {
            if (!error)
                finish_when_drained();
        });
    }

    void run_after(absl::Duration delay, std::function<void()> callback)
    {
        const auto timer = std::make_shared<asio::steady_timer>(context_);
        timer->expires_after(absl::ToChronoMilliseconds(delay));
        timer->async_wait(
            [timer, callback = std::move(callback)](const error_code& error) {
                if (!error)
                    callback();
            });
    }

    const router_settings& settings_;
    router& router_;
    const reload_hook& reload_;
    asio::io_context context_{1};
    asio::signal_set signals_{context_};
    asio::steady_timer drain_timer_{context_};
    std::chrono::steady_clock::time_point drain_deadline_;
    bool is_stopping_ = false;
};

} // namespace

int run(const router_settings& settings, const router_hooks& hooks,
        const reload_hook& reload)
{
    // Writing to a connection that the peer closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    router instance(settings, hooks);
    if (const auto failure = instance.start()) {
        // In one piece: the log is written beside it.
        const std::string message =
            "oriolefall: cannot listen at " +
            settings::format_endpoint(failure->address) + ": " +
            failure->cause + "\n";
        std::cerr << message;
        return EXIT_FAILURE;
    }
    main_duty(settings, instance, reload).run();
    instance.log().write("stopped", {});
    instance.stop();
    return EXIT_SUCCESS;
}

} // namespace oriolefall::router

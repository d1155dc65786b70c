#ifndef ORIOLEFALL_DAEMON_REGISTRAR_HPP
#define ORIOLEFALL_DAEMON_REGISTRAR_HPP

#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/daemon/platform_client.hpp"
#include "oriolefall/platform/object.hpp"
#include "oriolefall/platform/stop_signal.hpp"

#include <absl/time/time.h>

#include <atomic>
#include <functional>
#include <vector>

namespace oriolefall::daemon {

/// Fixed for the life of a `registrar`.
struct registrar_settings
{
    platform::listed_instance self;
    /// Between two rounds, drawn between half of it and the whole.
    absl::Duration interval = absl::Seconds(5);
};

/// The thread that tells the platform of this instance and reads its list of
/// the others, round after round. An outage only makes the list older.
class registrar
{
public:
    using listed_hook =
        std::function<void(std::vector<platform::listed_instance>)>;

    /// `listed` is called on the registrar's thread.
    registrar(registrar_settings settings, const platform_access& access,
              listed_hook listed);
    registrar(const registrar&) = delete;
    registrar& operator=(const registrar&) = delete;
    ~registrar();

    /// From the next round on the platform is told that this instance leaves.
    /// Any thread.
    void leave();

private:
    void run();
    void announce();
    void list();

    registrar_settings settings_;
    listed_hook listed_;
    platform::client client_;
    platform::object_store store_;
    platform::stop_signal stop_;
    std::atomic<bool> leaving_ = false;
    core::duty_thread thread_;
};

} // namespace oriolefall::daemon

#endif

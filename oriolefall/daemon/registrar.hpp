#ifndef ORIOLEFALL_DAEMON_REGISTRAR_HPP
#define ORIOLEFALL_DAEMON_REGISTRAR_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/daemon/platform_client.hpp"
#include "oriolefall/objects/object.hpp"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace oriolefall::daemon {

/// Settings of a `registrar`, fixed for its lifetime.
struct registrar_settings
{
    /// Interval between two reads of the list while this instance has the
    /// reader role, and between two attempts to announce after a failure.
    /// Jitter shortens each wait by up to one half, here and for
    /// `announce_interval`.
    absl::Duration list_interval = absl::Seconds(5);
    /// Interval between two announcements when nothing has changed.
    absl::Duration announce_interval = absl::Minutes(2);
};

/// The duty that announces this instance to the platform at its start, when it
/// leaves and periodically, and that reads the platform's list of instances
/// while this instance has the reader role. During an outage of the platform
/// the last list that was read remains in use.
class registrar
{
public:
    using listed_callback =
        std::function<void(std::vector<objects::listed_instance>)>;

    /// `on_listed` is called on the registrar's thread.
    registrar(const registrar_settings& settings, const platform_access& access,
              listed_callback on_listed);
    registrar(const registrar&) = delete;
    registrar& operator=(const registrar&) = delete;
    ~registrar();

    /// Starts the thread, which announces `self`. Called once.
    void start(objects::listed_instance self);
    /// Announces to the platform that this instance is leaving. Never blocks.
    /// Thread-safe.
    void leave();
    /// Sets whether this instance reads the list. Never blocks. Thread-safe.
    void set_role(bool is_reader);

private:
    struct leave_command
    {
    };
    struct role_command
    {
        bool is_reader = false;
    };
    using command_type = std::variant<leave_command, role_command>;

    void run();
    void handle(const leave_command& command);
    void handle(const role_command& command);
    void announce();
    void list();
    /// The time after `interval`, shortened by random jitter.
    [[nodiscard]] absl::Time jittered_deadline(absl::Duration interval) const;

    registrar_settings settings_;
    objects::listed_instance self_;
    listed_callback on_listed_;
    objects::client client_;
    objects::object_store store_;
    core::bounded_ring<command_type> commands_;
    bool is_reader_ = true;
    absl::Time next_announcement_at_ = absl::InfinitePast();
    absl::Time next_list_at_ = absl::InfinitePast();
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::daemon

#endif

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

/// Fixed for the life of a `registrar`.
struct registrar_settings
{
    /// Between two reads of the list while this instance reads it, and
    /// between two tries to announce after a failure. Drawn between half of
    /// it and the whole, like the next.
    absl::Duration list_interval = absl::Seconds(5);
    /// Between two announcements when nothing has changed.
    absl::Duration announce_interval = absl::Minutes(2);
};

/// The thread that tells the platform of this instance, at its start, when it
/// leaves and from time to time, and that reads the list of the others while
/// this instance has that role. An outage only makes the list older.
class registrar
{
public:
    using listed_hook =
        std::function<void(std::vector<objects::listed_instance>)>;

    /// `listed` is called on the registrar's thread.
    registrar(const registrar_settings& settings, const platform_access& access,
              listed_hook listed);
    registrar(const registrar&) = delete;
    registrar& operator=(const registrar&) = delete;
    ~registrar();

    /// Starts the thread that speaks for `self`. Once.
    void start(objects::listed_instance self);
    /// Tells the platform that this instance leaves. Never blocks. Any thread.
    void leave();
    /// This instance is to read the list, or no longer. Never blocks. Any
    /// thread.
    void set_role(bool is_reader);

private:
    struct leave_order
    {
    };
    struct role_order
    {
        bool is_reader = false;
    };
    using order = std::variant<leave_order, role_order>;

    void run();
    void take(const leave_order& order);
    void take(const role_order& order);
    void announce();
    void list();
    [[nodiscard]] absl::Time after(absl::Duration interval) const;

    registrar_settings settings_;
    objects::listed_instance self_;
    listed_hook listed_;
    objects::client client_;
    objects::object_store store_;
    core::bounded_ring<order> orders_;
    bool is_reader_ = true;
    absl::Time announce_at_ = absl::InfinitePast();
    absl::Time list_at_ = absl::InfinitePast();
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::daemon

#endif

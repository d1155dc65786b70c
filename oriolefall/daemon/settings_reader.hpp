#ifndef ORIOLEFALL_DAEMON_SETTINGS_READER_HPP
#define ORIOLEFALL_DAEMON_SETTINGS_READER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/objects/client.hpp"
#include "oriolefall/objects/store_watcher.hpp"
#include "oriolefall/settings/tree_object.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace oriolefall::daemon {

/// Reads the settings tree from the platform while this instance has the
/// reader role. One thread handles changes of the role, another one reads.
class settings_reader
{
public:
    /// Receives the objects that were read; false when its queue was full.
    using objects_sink =
        std::function<bool(std::vector<settings::tree_object>)>;

    settings_reader(objects::client_settings client, objects_sink sink);
    settings_reader(const settings_reader&) = delete;
    settings_reader& operator=(const settings_reader&) = delete;
    ~settings_reader();

    /// Sets whether this instance reads the settings. Never blocks.
    /// Thread-safe.
    void set_role(bool is_reader);

private:
    /// A client of the platform's object store and the watcher that uses it.
    struct active_reader;

    void follow_role();

    objects::client_settings client_;
    objects_sink sink_;
    core::bounded_ring<bool> role_changes_;
    std::unique_ptr<active_reader> active_reader_;
    core::duty_thread thread_;
};

} // namespace oriolefall::daemon

#endif

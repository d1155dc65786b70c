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

/// Reads the settings tree from the platform while this instance has that
/// role. One thread follows the role, one reads.
class settings_reader
{
public:
    /// Takes what was read; false when there was no room.
    using give_hook = std::function<bool(std::vector<settings::tree_object>)>;

    settings_reader(objects::client_settings client, give_hook give);
    settings_reader(const settings_reader&) = delete;
    settings_reader& operator=(const settings_reader&) = delete;
    ~settings_reader();

    /// This instance is to read, or no longer. Never blocks. Any thread.
    void set_role(bool is_reader);

private:
    /// A client of the platform and the reader that uses it.
    struct reading;

    void follow_role();

    objects::client_settings client_;
    give_hook give_;
    core::bounded_ring<bool> roles_;
    std::unique_ptr<reading> reading_;
    core::duty_thread thread_;
};

} // namespace oriolefall::daemon

#endif

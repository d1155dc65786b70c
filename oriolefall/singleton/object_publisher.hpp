#ifndef ORIOLEFALL_SINGLETON_OBJECT_PUBLISHER_HPP
#define ORIOLEFALL_SINGLETON_OBJECT_PUBLISHER_HPP

#include "oriolefall/core/clock.hpp"
#include "oriolefall/duties/planner.hpp"
#include "oriolefall/follow/store_connection.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::singleton {

struct publisher_hooks
{
    /// The object to write now, whatever its revision is. Asked again only
    /// after `on_written`.
    std::function<std::optional<duties::write_object>(absl::Time now)> due;
    std::function<void(absl::Time now, bool is_written)> on_written;
    /// Calls that create or replace an object, to be made in order until one
    /// succeeds.
    std::function<std::vector<follow::store_request>(
        const std::string& collection, const std::string& name,
        const std::string& value)>
        put;
};

/// Writes the object that an instance publishes for the holder of the lease;
/// needs no lease. Called on the thread of the duties.
class object_publisher
{
public:
    /// `clock`: the time given to the hooks.
    object_publisher(std::shared_ptr<follow::store_connection> connection,
                     core::clock_hook clock, publisher_hooks hooks);

    /// Starts the write that is due, if none is in progress.
    void step(absl::Time now);

private:
    void try_call(std::size_t attempt);
    void finish(bool is_written);

    std::shared_ptr<follow::store_connection> connection_;
    core::clock_hook clock_;
    publisher_hooks hooks_;
    std::vector<follow::store_request> calls_;
    /// Which of the calls succeeded last: the others fail while the object
    /// stays there, or is missing.
    std::size_t first_call_ = 0;
    bool is_writing_ = false;
};

} // namespace oriolefall::singleton

#endif

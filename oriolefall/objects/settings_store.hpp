#ifndef ORIOLEFALL_OBJECTS_SETTINGS_STORE_HPP
#define ORIOLEFALL_OBJECTS_SETTINGS_STORE_HPP

#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/objects/backoff.hpp"
#include "oriolefall/objects/object_store.hpp"
#include "oriolefall/objects/stop_signal.hpp"
#include "oriolefall/settings/change.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::objects {

/// The change is durable and will come into force at every instance.
struct change_accepted
{
    std::uint64_t version = 0;
    auto operator<=>(const change_accepted&) const = default;
};

using change_result = std::variant<change_accepted, settings::change_refused>;
using tree_read_result =
    std::variant<settings::tree_object, not_found, unavailable>;
using tree_list_result =
    std::variant<std::vector<settings::tree_object>, unavailable>;

/// Every live instance has the requested version in force.
struct in_force_everywhere
{
    auto operator<=>(const in_force_everywhere&) const = default;
};

/// The wait ended before these instances had the version in force.
struct not_yet_in_force
{
    std::vector<core::instance_id> lagging;
    auto operator<=>(const not_yet_in_force&) const = default;
};

using in_force_result = std::variant<in_force_everywhere, not_yet_in_force>;

/// Returns the live instances that do not have this version of an object in
/// force yet; may block for a while.
using lagging_instances_hook = std::function<std::vector<core::instance_id>(
    const settings::path_version&)>;

/// Operations of `oriolefall settings get|put|list|watch`. Checks the teams'
/// keys, so it runs in an instance, behind the operators' HTTP interface:
///
///     client calls(client_settings{...});
///     settings_store tree(calls.as_object_store(), instance.team_keys);
///     tree.put({.team = ..., .key = ..., .path = "/teams/a/main",
///               .text = ..., .expected_version = {}});
///
/// Not thread-safe; all calls of the store are made on the calling thread.
class settings_store
{
public:
    settings_store(object_store store, std::vector<settings::team_key> keys);

    [[nodiscard]] tree_read_result get(const std::string& path);
    /// Objects of all teams.
    [[nodiscard]] tree_list_result list();
    /// Checks a change against all settings and writes it. Of two concurrent
    /// changes to one object, one is refused with `conflict`.
    [[nodiscard]] change_result put(const settings::change& change);
    /// Waits for changes after revision `from`, as `client::watch` does.
    [[nodiscard]] watch_result watch(std::uint64_t from,
                                     absl::Duration timeout);

private:
    object_store store_;
    std::vector<settings::team_key> keys_;
};

/// Converts a stored object to an object of the settings tree.
[[nodiscard]] settings::tree_object to_tree_object(const stored_object& stored);

/// Timeout and polling delays of `wait_until_in_force`.
struct in_force_wait_settings
{
    absl::Duration timeout = absl::Seconds(30);
    backoff_settings backoff{absl::Milliseconds(100), absl::Seconds(1)};
    core::clock_hook clock = core::monotonic_now;
    random_hook random = draw_uniform;
};

/// Polls `lagging_instances` with backoff until it returns no instance or the
/// timeout has passed. `stop` ends the wait early. Implements the wait of
/// `settings put --wait` after the change was accepted.
[[nodiscard]] in_force_result
wait_until_in_force(const settings::path_version& version,
                    const lagging_instances_hook& lagging_instances,
                    const in_force_wait_settings& settings, stop_signal& stop);

} // namespace oriolefall::objects

#endif

#ifndef ORIOLEFALL_OBJECTS_STORE_WATCHER_HPP
#define ORIOLEFALL_OBJECTS_STORE_WATCHER_HPP

#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/objects/backoff.hpp"
#include "oriolefall/objects/object_store.hpp"
#include "oriolefall/objects/stop_signal.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace oriolefall::objects {

/// The platform could not be reached; what was read before may be outdated.
struct store_unreachable
{
    failure cause = failure::outage;
    auto operator<=>(const store_unreachable&) const = default;
};

/// What a `store_watcher` read. A list replaces all that was known
/// under the prefix, but may itself be stale, so the versions of the objects
/// decide which state is newer.
using store_update =
    std::variant<object_list, object_changes, store_unreachable>;
/// Takes an update on the watcher's thread; may block until there is room.
using store_update_hook = std::function<void(store_update)>;

/// Settings of a `store_watcher`, which do not change during its lifetime.
struct store_watcher_settings
{
    std::string prefix = "/teams/";
    /// Timeout of one watch. While watches are not answered, a change stays
    /// unseen for at most this time plus `client_settings::watch_grace`.
    absl::Duration watch_timeout = absl::Seconds(3);
    /// Interval of full lists while watches are answered; a list recovers
    /// changes that a watch did not report.
    absl::Duration list_interval = absl::Minutes(1);
    backoff_settings backoff{absl::Milliseconds(100), absl::Seconds(5)};
    core::clock_hook clock = core::monotonic_now;
    /// Source of the backoff jitter.
    random_hook random = draw_uniform;
};

/// Follows the objects under one prefix by list and watch. Lists again when the
/// platform no longer has the changes, when a watch timed out unanswered, and
/// at intervals. Has a thread of its own, which makes all calls of `store`.
class store_watcher
{
public:
    /// `stop_store` ends a call of `store` that is in progress; it is called on
    /// the thread that destroys the watcher. `on_update` must not block once
    /// destruction has begun: if it pushes to a ring, close the ring first.
    store_watcher(store_watcher_settings settings, object_store store,
                  std::function<void()> stop_store,
                  store_update_hook on_update);
    store_watcher(const store_watcher&) = delete;
    store_watcher& operator=(const store_watcher&) = delete;
    /// Stops and joins the thread.
    ~store_watcher();

private:
    void run();
    /// The next three return how long to wait before the next call.
    [[nodiscard]] absl::Duration list();
    [[nodiscard]] absl::Duration watch();
    [[nodiscard]] absl::Duration on_failure(const unavailable& result);
    [[nodiscard]] bool is_list_due() const;

    store_watcher_settings settings_;
    object_store store_;
    std::function<void()> stop_store_;
    store_update_hook on_update_;
    stop_signal stop_;
    /// Changes up to this revision were reported; empty until the first list.
    std::optional<std::uint64_t> revision_;
    /// The platform no longer has the changes that the next watch would start
    /// with.
    bool is_history_gone_ = false;
    absl::Time listed_at_ = absl::InfinitePast();
    std::uint32_t consecutive_failures_ = 0;
    core::duty_thread thread_;
};

} // namespace oriolefall::objects

#endif

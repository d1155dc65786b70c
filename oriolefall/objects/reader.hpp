#ifndef ORIOLEFALL_OBJECTS_READER_HPP
#define ORIOLEFALL_OBJECTS_READER_HPP

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

/// The platform could not be reached; what was read before may be old.
struct store_unreachable
{
    failure cause = failure::outage;
    auto operator<=>(const store_unreachable&) const = default;
};

/// What a `reader` learnt. A list replaces all that was known under the
/// prefix, but may itself be stale: versions decide.
using store_news = std::variant<object_list, object_changes, store_unreachable>;
/// Takes news on the reader's thread; may block until there is room.
using store_news_hook = std::function<void(store_news)>;

/// Fixed for the life of a `reader`.
struct reader_settings
{
    std::string prefix = "/teams/";
    /// Time limit of one watch: the longest that a change stays unseen while
    /// watches are silent, together with the client's grace.
    absl::Duration watch_limit = absl::Seconds(3);
    /// How often all is listed while watches answer; it mends what a watch
    /// did not tell.
    absl::Duration list_interval = absl::Minutes(1);
    backoff_settings backoff{absl::Milliseconds(100), absl::Seconds(5)};
    core::clock_hook clock = core::monotonic_now;
    /// Draws the jitter.
    random_hook random = draw_uniform;
};

/// Follows the objects under one prefix: lists them, then watches. Lists
/// again when the platform no longer knows the changes, when a watch was
/// silent beyond its time limit, and from time to time. One thread of its
/// own, which makes all calls of `store`.
class reader
{
public:
    /// `stop_store` ends a call of `store` that is under way; it is called
    /// from the thread that destroys the reader. `news` must not block once
    /// that has begun: close the ring behind it first.
    reader(reader_settings settings, object_store store,
           std::function<void()> stop_store, store_news_hook news);
    reader(const reader&) = delete;
    reader& operator=(const reader&) = delete;
    /// Stops and joins the thread.
    ~reader();

private:
    void run();
    /// Each returns how long to wait before the next step.
    [[nodiscard]] absl::Duration list();
    [[nodiscard]] absl::Duration watch();
    [[nodiscard]] absl::Duration on_failure(const unavailable& failed);
    [[nodiscard]] bool is_list_due() const;

    reader_settings settings_;
    object_store store_;
    std::function<void()> stop_store_;
    store_news_hook news_;
    stop_signal stop_;
    /// Changes up to here were pushed; nothing: list first.
    std::optional<std::uint64_t> revision_;
    /// The platform forgot the changes that the next watch would begin with.
    bool history_gone_ = false;
    absl::Time listed_at_ = absl::InfinitePast();
    std::uint32_t failures_ = 0;
    core::duty_thread thread_;
};

} // namespace oriolefall::objects

#endif

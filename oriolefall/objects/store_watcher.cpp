#include "oriolefall/objects/store_watcher.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::objects {

namespace {

std::uint64_t newest_version(const object_list& list)
{
    const auto newest =
        std::ranges::max_element(list.objects, {}, &stored_object::version);
    return newest == list.objects.end() ? 0 : newest->version;
}

} // namespace

store_watcher::store_watcher(store_watcher_settings settings,
                             object_store store,
                             std::function<void()> stop_store,
                             store_update_hook on_update)
    : settings_(std::move(settings)), store_(std::move(store)),
      stop_store_(std::move(stop_store)), on_update_(std::move(on_update)),
      thread_("platform-read", [this] { run(); })
{
}

store_watcher::~store_watcher()
{
    stop_.stop();
    stop_store_();
    thread_.join();
}

void store_watcher::run()
{
    absl::Duration wait = absl::ZeroDuration();
    while (stop_.wait(wait))
        wait = revision_ && !is_list_due() ? watch() : list();
}

bool store_watcher::is_list_due() const
{
    return settings_.clock() - listed_at_ >= settings_.list_interval;
}

absl::Duration store_watcher::list()
{
    list_result result = store_.list(settings_.prefix);
    if (const auto* error = std::get_if<unavailable>(&result))
        return on_failure(*error);
    auto& list = std::get<object_list>(result);
    // A list may be stale although its revision is current. So a watch
    // continues from the revision that was reached, and the first one starts at
    // the newest version listed; receiving a change twice is harmless.
    if (!revision_)
        revision_ = is_history_gone_ ? list.revision : newest_version(list);
    is_history_gone_ = false;
    listed_at_ = settings_.clock();
    consecutive_failures_ = 0;
    on_update_(std::move(list));
    return absl::ZeroDuration();
}

absl::Duration store_watcher::watch()
{
    watch_result result =
        store_.watch(settings_.prefix, *revision_, settings_.watch_timeout);
    if (const auto* error = std::get_if<unavailable>(&result))
        return on_failure(*error);
    if (auto* changes = std::get_if<object_changes>(&result)) {
        consecutive_failures_ = 0;
        revision_ = std::max(*revision_, changes->revision);
        if (!changes->changes.empty())
            on_update_(std::move(*changes));
        return absl::ZeroDuration();
    }
    if (std::holds_alternative<history_gone>(result)) {
        revision_.reset();
        is_history_gone_ = true;
    }
    listed_at_ = absl::InfinitePast();
    return absl::ZeroDuration();
}

absl::Duration store_watcher::on_failure(const unavailable& result)
{
    if (consecutive_failures_ == 0)
        on_update_(store_unreachable{result.cause});
    return result.retry_after + backoff_delay(settings_.backoff,
                                              consecutive_failures_++,
                                              settings_.random);
}

} // namespace oriolefall::objects

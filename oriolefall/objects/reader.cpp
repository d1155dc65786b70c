#include "oriolefall/objects/reader.hpp"

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

reader::reader(reader_settings settings, object_store store,
               std::function<void()> stop_store, store_news_hook news)
    : settings_(std::move(settings)), store_(std::move(store)),
      stop_store_(std::move(stop_store)), news_(std::move(news)),
      thread_("platform-read", [this] { run(); })
{
}

reader::~reader()
{
    stop_.stop();
    stop_store_();
    thread_.join();
}

void reader::run()
{
    absl::Duration wait = absl::ZeroDuration();
    while (stop_.wait(wait))
        wait = revision_ && !is_list_due() ? watch() : list();
}

bool reader::is_list_due() const
{
    return settings_.clock() - listed_at_ >= settings_.list_interval;
}

absl::Duration reader::list()
{
    list_result result = store_.list(settings_.prefix);
    if (const auto* failed = std::get_if<unavailable>(&result))
        return on_failure(*failed);
    auto& list = std::get<object_list>(result);
    // The watch goes on from where it was, and the first one from the newest
    // version listed: a list may be stale although its revision is not, and
    // what is told twice does no harm.
    if (!revision_)
        revision_ = history_gone_ ? list.revision : newest_version(list);
    history_gone_ = false;
    listed_at_ = settings_.clock();
    failures_ = 0;
    news_(std::move(list));
    return absl::ZeroDuration();
}

absl::Duration reader::watch()
{
    watch_result result =
        store_.watch(settings_.prefix, *revision_, settings_.watch_limit);
    if (const auto* failed = std::get_if<unavailable>(&result))
        return on_failure(*failed);
    if (auto* changes = std::get_if<object_changes>(&result)) {
        failures_ = 0;
        revision_ = std::max(*revision_, changes->revision);
        if (!changes->changes.empty())
            news_(std::move(*changes));
        return absl::ZeroDuration();
    }
    if (std::holds_alternative<history_gone>(result)) {
        revision_.reset();
        history_gone_ = true;
    }
    listed_at_ = absl::InfinitePast();
    return absl::ZeroDuration();
}

absl::Duration reader::on_failure(const unavailable& failed)
{
    if (failures_ == 0)
        news_(store_unreachable{failed.cause});
    return failed.retry_after +
           backoff_delay(settings_.backoff, failures_++, settings_.random);
}

} // namespace oriolefall::objects

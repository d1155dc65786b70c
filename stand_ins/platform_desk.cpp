#include "stand_ins/platform_desk.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::stand_ins {

namespace {

/// Calls that the rate limit lets through in a burst, as a time of its rate.
constexpr absl::Duration burst = absl::Milliseconds(250);

} // namespace

void platform_desk::take(absl::Time now, platform_call call)
{
    count(call.request);
    if (!admit(now)) {
        ++stats_.refused;
        call.reply(rate_limited{});
        return;
    }
    if (faults_.slow > absl::ZeroDuration())
        delayed_.emplace(now + faults_.slow, std::move(call));
    else
        apply(now, std::move(call));
}

void platform_desk::advance(absl::Time now)
{
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        auto due = delayed_.extract(delayed_.begin());
        apply(now, std::move(due.mapped()));
    }
    answer_watches(now);
}

absl::Time platform_desk::next_wake() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!delayed_.empty())
        next = delayed_.begin()->first;
    if (faults_.silent_watch)
        return next;
    for (const waiting_watch& watch : watches_)
        next = std::min(next, watch.deadline);
    return next;
}

void platform_desk::change_faults(
    const std::function<void(platform_faults&)>& change)
{
    change(faults_);
}

bool platform_desk::admit(absl::Time now)
{
    if (faults_.rate_per_s <= 0)
        return true;
    const double most =
        std::max(1.0, faults_.rate_per_s * absl::ToDoubleSeconds(burst));
    const double earned =
        faults_.rate_per_s * absl::ToDoubleSeconds(now - tokens_at_);
    tokens_ = std::min(most, tokens_ + earned);
    tokens_at_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void platform_desk::count(const platform_request& request)
{
    const bool is_write = std::holds_alternative<write_object>(request) ||
                          std::holds_alternative<tell_instance>(request) ||
                          std::holds_alternative<remove_instance>(request);
    if (std::holds_alternative<watch_objects>(request))
        ++stats_.watches;
    else if (is_write)
        ++stats_.writes;
    else
        ++stats_.reads;
}

void platform_desk::apply(absl::Time now, platform_call call)
{
    if (faults_.outage) {
        ++stats_.refused;
        call.reply(platform_down{});
        return;
    }
    if (const auto* watch = std::get_if<watch_objects>(&call.request)) {
        begin_watch(now, *watch, std::move(call.reply));
        return;
    }
    const auto visitor = [&]<class Request>(const Request& request) {
        if constexpr (std::is_same_v<Request, watch_objects>)
            return platform_reply(not_found{});
        else
            return answer(now, request);
    };
    call.reply(std::visit(visitor, call.request));
    answer_watches(now);
}

platform_reply platform_desk::answer(absl::Time /*now*/,
                                     const read_object& request)
{
    auto found = store_.read(request.path, read_freshness());
    if (!found)
        return not_found{};
    return std::move(*found);
}

platform_reply platform_desk::answer(absl::Time /*now*/,
                                     const list_objects& request)
{
    return object_listing{store_.revision(),
                          store_.list(request.prefix, read_freshness())};
}

platform_reply platform_desk::answer(absl::Time /*now*/,
                                     const write_object& request)
{
    const bool deletes = !request.value.has_value();
    if (deletes && !store_.read(request.path, freshness::newest))
        return not_found{};
    const write_result result =
        store_.write(request.path, request.value, request.condition);
    if (const auto* conflict = std::get_if<write_conflict>(&result))
        return *conflict;
    return lose_or_give(std::get<write_done>(result));
}

platform_reply platform_desk::answer(absl::Time now,
                                     const list_instances& /*request*/)
{
    return instances_.at(now - faults_.instances_lag);
}

platform_reply platform_desk::answer(absl::Time now,
                                     const tell_instance& request)
{
    instances_.tell(now, request.record);
    return lose_or_give(instance_told{});
}

platform_reply platform_desk::answer(absl::Time now,
                                     const remove_instance& request)
{
    instances_.remove(now, request.id);
    return lose_or_give(instance_told{});
}

platform_reply platform_desk::lose_or_give(platform_reply reply)
{
    if (faults_.lose_answers == 0)
        return reply;
    --faults_.lose_answers;
    ++stats_.lost_answers;
    return answer_lost{};
}

void platform_desk::begin_watch(absl::Time now, const watch_objects& request,
                                reply_sink reply)
{
    waiting_watch watch{request, now + request.timeout, std::move(reply)};
    if (!try_answer(watch, now))
        watches_.push_back(std::move(watch));
}

bool platform_desk::try_answer(const waiting_watch& watch, absl::Time now)
{
    if (faults_.silent_watch)
        return false;
    if (faults_.outage) {
        watch.reply(platform_down{});
        return true;
    }
    auto changes =
        store_.changes_since(watch.request.prefix, watch.request.from);
    if (!changes) {
        watch.reply(revision_gone{});
        return true;
    }
    if (changes->empty() && now < watch.deadline)
        return false;
    watch.reply(change_listing{store_.revision(), std::move(*changes)});
    return true;
}

void platform_desk::answer_watches(absl::Time now)
{
    std::erase_if(watches_, [&](const waiting_watch& watch) {
        return try_answer(watch, now);
    });
}

freshness platform_desk::read_freshness() const
{
    return faults_.stale_reads ? freshness::previous : freshness::newest;
}

} // namespace oriolefall::stand_ins

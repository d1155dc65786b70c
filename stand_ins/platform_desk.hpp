#ifndef ORIOLEFALL_STAND_INS_PLATFORM_DESK_HPP
#define ORIOLEFALL_STAND_INS_PLATFORM_DESK_HPP

#include "stand_ins/platform_messages.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <list>
#include <map>

namespace oriolefall::stand_ins {

/// The state of the platform: objects, waiting watches, instances, faults. No
/// clock and no thread of its own; one thread at a time.
class platform_desk
{
public:
    /// `history`: changes that a watch can still be told.
    explicit platform_desk(std::size_t history) : store_(history) {}

    void take(absl::Time now, platform_call call);
    /// Does what has become due.
    void advance(absl::Time now);
    /// When `advance` must be called next at the latest.
    [[nodiscard]] absl::Time next_wake() const;

    void change_faults(const std::function<void(platform_faults&)>& change);
    [[nodiscard]] const platform_faults& faults() const noexcept
    {
        return faults_;
    }
    [[nodiscard]] const platform_stats& stats() const noexcept
    {
        return stats_;
    }

private:
    struct waiting_watch
    {
        watch_objects request;
        absl::Time deadline;
        reply_sink reply;
    };

    bool admit(absl::Time now);
    void count(const platform_request& request);
    void apply(absl::Time now, platform_call call);
    platform_reply answer(absl::Time now, const read_object& request);
    platform_reply answer(absl::Time now, const list_objects& request);
    platform_reply answer(absl::Time now, const write_object& request);
    platform_reply answer(absl::Time now, const list_instances& request);
    platform_reply answer(absl::Time now, const tell_instance& request);
    platform_reply answer(absl::Time now, const remove_instance& request);
    platform_reply lose_or_give(platform_reply reply);
    void begin_watch(absl::Time now, const watch_objects& request,
                     reply_sink reply);
    /// True when the watch has been answered.
    bool try_answer(const waiting_watch& watch, absl::Time now);
    void answer_watches(absl::Time now);
    [[nodiscard]] freshness read_freshness() const;

    object_store store_;
    instance_list instances_;
    platform_faults faults_;
    platform_stats stats_;
    std::list<waiting_watch> watches_;
    std::multimap<absl::Time, platform_call> delayed_;
    double tokens_ = 0;
    absl::Time tokens_at_ = absl::InfinitePast();
};

} // namespace oriolefall::stand_ins

#endif

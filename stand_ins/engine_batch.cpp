#include "stand_ins/engine_batch.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::stand_ins {

namespace {

/// Load samples older than this are dropped.
constexpr absl::Duration longest_lag = absl::Minutes(1);

} // namespace

engine_batch::engine_batch(const engine_settings& settings)
    : settings_(settings), cache_(settings.cache_tokens / block_tokens)
{
}

void engine_batch::submit(absl::Time now, generation_order order,
                          stream_sink sink)
{
    const bool full = running_.size() >= settings_.slots &&
                      waiting_.size() >= settings_.queue_capacity;
    if (faults_.refuse || full) {
        ++stats_.refused;
        sink(stream_refused{load(now), false});
        return;
    }
    ++stats_.started;
    last_start_ = now;
    sequence next;
    next.order = std::move(order);
    next.sink = std::move(sink);
    next.next_index = next.order.first_index;
    next.crash_after = std::exchange(faults_.crash_after_tokens, {});
    next.silent_after = std::exchange(faults_.silent_after_tokens, {});
    next.sink(stream_accepted{load(now)});
    const queue_key key(next.order.priority, arrivals_++);
    waiting_.emplace(key, std::move(next));
    sample_load(now);
}

void engine_batch::cancel(absl::Time now, std::uint64_t id)
{
    const auto is_it = [id](const sequence& s) { return s.order.id == id; };
    const auto drop = [&](std::vector<sequence>& from) {
        const auto found = std::ranges::find_if(from, is_it);
        if (found == from.end())
            return;
        discard(*found);
        from.erase(found);
    };
    drop(running_);
    drop(silent_);
    const auto queued = std::ranges::find_if(
        waiting_, [&](const auto& entry) { return is_it(entry.second); });
    if (queued != waiting_.end()) {
        discard(queued->second);
        waiting_.erase(queued);
    }
    sample_load(now);
}

std::optional<absl::Time> engine_batch::begin_step(absl::Time now)
{
    while (running_.size() < settings_.slots && !waiting_.empty())
        admit(std::move(waiting_.extract(waiting_.begin()).mapped()));
    sample_load(now);
    if (running_.empty())
        return std::nullopt;
    const double growth =
        settings_.step_growth * static_cast<double>(running_.size() - 1);
    step_time_ = settings_.step * (1.0 + growth);
    return now + step_time_ * faults_.straggle;
}

void engine_batch::end_step(absl::Time now)
{
    prefill(settings_.prefill_tokens_per_s * absl::ToDoubleSeconds(step_time_));
    std::vector<sequence> kept;
    for (sequence& answer : running_) {
        if (answer.prefill_left > 0 || decode(answer))
            kept.push_back(std::move(answer));
    }
    running_ = std::move(kept);
    sample_load(now);
}

engine_load engine_batch::load(absl::Time now) const
{
    const auto newer =
        std::ranges::upper_bound(samples_, now - faults_.lag, std::less<>{},
                                 [](const load_sample& s) { return s.at; });
    engine_load report;
    if (newer != samples_.begin())
        report = std::prev(newer)->load;
    report.age = faults_.lag;
    report.running = faults_.lie_running.value_or(report.running);
    return report;
}

engine_stats engine_batch::stats(absl::Time now) const
{
    engine_stats stats = stats_;
    stats.running = static_cast<std::uint32_t>(running_.size());
    stats.queued = static_cast<std::uint32_t>(waiting_.size());
    if (last_start_ != absl::InfinitePast())
        stats.since_last_start = now - last_start_;
    return stats;
}

void engine_batch::admit(sequence next)
{
    const std::uint32_t held =
        cache_.touch(next.order.prefix_blocks) * block_tokens;
    const std::uint32_t whole =
        next.order.prompt_tokens + next.order.first_index;
    next.prefill_left = whole - std::min(held, whole);
    stats_.prefill_tokens_cached += whole - next.prefill_left;
    running_.push_back(std::move(next));
}

void engine_batch::prefill(double budget)
{
    auto left = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(budget));
    for (sequence& answer : running_) {
        const std::uint32_t part = std::min(left, answer.prefill_left);
        answer.prefill_left -= part;
        stats_.prefill_tokens_computed += part;
        left -= part;
    }
}

bool engine_batch::decode(sequence& answer)
{
    if (answer.crash_after && answer.computed >= *answer.crash_after) {
        ++stats_.broken;
        answer.sink(stream_cut{});
        return false;
    }
    if (answer.silent_after && answer.computed >= *answer.silent_after) {
        ++stats_.broken;
        silent_.push_back(std::move(answer));
        return false;
    }
    if (answer.next_index < answer.order.length) {
        answer.sink(stream_token{answer.next_index++});
        ++answer.computed;
        ++stats_.tokens_computed;
        ++stats_.tokens_by_priority.at(
            static_cast<std::size_t>(answer.order.priority));
    }
    if (answer.next_index < answer.order.length)
        return true;
    ++stats_.completed;
    answer.sink(stream_finished{});
    return false;
}

void engine_batch::discard(const sequence& answer)
{
    ++stats_.cancelled;
    stats_.tokens_wasted += answer.computed;
}

void engine_batch::sample_load(absl::Time now)
{
    const engine_load load = current_load();
    if (!samples_.empty() && samples_.back().load == load)
        return;
    samples_.push_back({now, load});
    while (samples_.size() > 1 && samples_[1].at < now - longest_lag)
        samples_.pop_front();
}

engine_load engine_batch::current_load() const
{
    engine_load load;
    load.running = static_cast<std::uint32_t>(running_.size());
    load.queued = static_cast<std::uint32_t>(waiting_.size());
    load.cache_used = cache_.used();
    return load;
}

} // namespace oriolefall::stand_ins

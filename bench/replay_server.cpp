#include "bench/replay_server.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::bench {

namespace {

/// Prompt tokens computed in one step at most (chunked prefill).
constexpr std::uint32_t prompt_chunk = 512;
/// Step times vary by this part to both sides.
constexpr double time_variation = 0.05;

} // namespace

replay_server::replay_server(const trace_server& settings, std::uint64_t seed)
    : settings_(settings), random_(seed)
{
}

bool replay_server::is_service() const
{
    return settings_.server.kind == core::call_kind::service;
}

bool replay_server::submit(absl::Time now, const server_call& call)
{
    const bool cannot_resume =
        call.resume_from > 0 && !settings_.server.resumes_streams;
    if (refusing_ || cannot_resume ||
        waiting_.size() >= settings_.speed.queue_limit)
        return false;
    const auto after = std::ranges::upper_bound(
        waiting_, call.priority, {},
        [](const stream& each) { return each.call.priority; });
    waiting_.insert(after, stream{.call = call, .produced = call.resume_from});
    if (is_service())
        admit(now);
    else if (step_end_ == absl::InfiniteFuture())
        begin_step(now);
    return true;
}

void replay_server::cancel(core::call_id call)
{
    if (is_service())
        return;
    drop(running_, call);
    drop(waiting_, call);
}

void replay_server::drop(std::vector<stream>& from, core::call_id call)
{
    const auto found = std::ranges::find(
        from, call, [](const stream& each) { return each.call.call; });
    if (found == from.end())
        return;
    ended_.push_back(found->call);
    from.erase(found);
}

absl::Time replay_server::next() const
{
    if (!is_service())
        return step_end_;
    const auto first = std::ranges::min_element(running_, {}, &stream::ready);
    return first == running_.end() ? absl::InfiniteFuture() : first->ready;
}

std::vector<server_progress> replay_server::advance(absl::Time now)
{
    if (now < next())
        return {};
    return is_service() ? end_service_calls(now) : end_step(now);
}

std::vector<core::call_id> replay_server::crash()
{
    std::vector<core::call_id> broken;
    for (std::vector<stream>* each : {&running_, &waiting_}) {
        for (const stream& open : *each) {
            broken.push_back(open.call.call);
            ended_.push_back(open.call);
        }
        each->clear();
    }
    cache_.clear();
    step_end_ = absl::InfiniteFuture();
    return broken;
}

void replay_server::silence()
{
    for (std::vector<stream>* each : {&running_, &waiting_})
        for (stream& open : *each)
            open.silent = true;
}

std::uint32_t replay_server::running() const
{
    return static_cast<std::uint32_t>(running_.size()) + others_;
}

std::uint32_t replay_server::queued() const
{
    return static_cast<std::uint32_t>(waiting_.size());
}

std::vector<server_call> replay_server::take_ended()
{
    return std::exchange(ended_, {});
}

std::vector<server_call> replay_server::open_calls() const
{
    std::vector<server_call> open;
    for (const std::vector<stream>* each : {&running_, &waiting_})
        std::ranges::transform(*each, std::back_inserter(open), &stream::call);
    return open;
}

void replay_server::admit(absl::Time now)
{
    while (!waiting_.empty() && running() < settings_.server.slots) {
        stream next = waiting_.front();
        waiting_.erase(waiting_.begin());
        if (is_service()) {
            const absl::Duration time = varied(settings_.speed.service_time);
            next.call.work = time;
            next.ready = now + time;
        } else {
            start_prompt(next);
        }
        running_.push_back(next);
    }
}

void replay_server::start_prompt(stream& started)
{
    const server_call& call = started.call;
    std::uint32_t cached = 0;
    if (call.prefix != 0 && take_from_cache(call.prefix))
        cached = call.prefix_tokens;
    const auto repeated = static_cast<std::uint32_t>(call.resume_from);
    // The last token of a prompt is always computed.
    started.prompt_left =
        std::max(call.prompt_tokens - std::min(cached, call.prompt_tokens),
                 1U) +
        repeated;
}

bool replay_server::take_from_cache(std::uint64_t prefix)
{
    const auto found = std::ranges::find(cache_, prefix);
    const bool held = found != cache_.end();
    if (held)
        cache_.erase(found);
    cache_.push_front(prefix);
    if (cache_.size() > settings_.speed.cached_prefixes)
        cache_.pop_back();
    return held;
}

void replay_server::begin_step(absl::Time now)
{
    admit(now);
    if (running_.empty()) {
        step_end_ = absl::InfiniteFuture();
        return;
    }
    const auto in_prompt = [](const stream& each) {
        return each.prompt_left > 0;
    };
    const auto prompt = std::ranges::find_if(running_, in_prompt);
    prompt_call_ = core::call_id();
    absl::Duration prompt_time;
    if (prompt != running_.end()) {
        prompt_call_ = prompt->call.call;
        prompt_chunk_ = std::min(prompt->prompt_left, prompt_chunk);
        prompt_time = varied(absl::Seconds(
            prompt_chunk_ / settings_.speed.prefill_tokens_per_s));
        prompt->call.work += prompt_time;
        prompt->call.prompt_work += prompt_time;
    }
    const auto decoding =
        running_.size() -
        static_cast<std::size_t>(std::ranges::count_if(running_, in_prompt));
    const double beside = static_cast<double>(decoding) + others_ - 1.0;
    const absl::Duration step =
        varied(settings_.speed.step +
               settings_.speed.step_per_stream * std::max(beside, 0.0));
    for (stream& each : running_)
        if (!in_prompt(each))
            each.call.work += step / static_cast<double>(decoding);
    step_end_ = now + prompt_time + step;
}

std::vector<server_progress> replay_server::end_step(absl::Time now)
{
    std::vector<server_progress> shown;
    for (stream& each : running_) {
        if (each.call.call == prompt_call_) {
            each.prompt_left -= prompt_chunk_;
        }
        if (each.prompt_left > 0)
            continue;
        ++each.produced;
        shown.push_back({each.call.call, each.produced,
                         each.produced >= each.call.output_tokens,
                         each.silent});
    }
    const auto whole = [](const stream& each) {
        return each.prompt_left == 0 &&
               each.produced >= each.call.output_tokens;
    };
    for (const stream& each : running_)
        if (whole(each))
            ended_.push_back(each.call);
    std::erase_if(running_, whole);
    begin_step(now);
    return shown;
}

std::vector<server_progress> replay_server::end_service_calls(absl::Time now)
{
    std::vector<server_progress> shown;
    const auto ready = [now](const stream& each) { return each.ready <= now; };
    for (const stream& each : running_)
        if (ready(each)) {
            shown.push_back({each.call.call, 0, true, each.silent});
            ended_.push_back(each.call);
        }
    std::erase_if(running_, ready);
    admit(now);
    return shown;
}

absl::Duration replay_server::varied(absl::Duration time)
{
    constexpr double steps = 1 << 20;
    const double part = static_cast<double>(random_() >> 44U) / steps;
    return time * factor_ * (1.0 + time_variation * (2.0 * part - 1.0));
}

} // namespace oriolefall::bench

#include "oriolefall/dispatch/server_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Weight of the newest call in the moving average of failures.
constexpr double newest_weight = 0.125;
/// Time in which a report of load loses most of its meaning.
constexpr absl::Duration load_fades_in = absl::Seconds(2);
constexpr std::uint32_t most_doublings = 4;
/// Weight of the newest answer in the slowness.
constexpr double slowness_weight = 0.15;
constexpr double least_slowness = 0.15;
constexpr double most_slowness = 6;
constexpr double percent = 100;

} // namespace

server_state::server_state(server_entry entry,
                           const ejection_settings& settings)
    : entry_(std::move(entry)), settings_(settings)
{
}

void server_state::replace(server_entry entry)
{
    const bool is_new_start = entry.started_at_ms != entry_.started_at_ms;
    entry_ = std::move(entry);
    if (!is_new_start)
        return;
    cache_.clear();
    load_.reset();
    failures_in_a_row_ = 0;
    failure_share_ = 0;
    calls_seen_ = 0;
    ejections_ = 0;
    ejected_until_ = absl::InfinitePast();
    on_probation_ = false;
}

const server_entry& server_state::entry() const
{
    return entry_;
}

void server_state::note_sent(std::uint32_t tokens_to_read)
{
    ++own_calls_;
    ++change_since_;
    own_backlog_ += tokens_to_read;
}

void server_state::note_read(std::uint32_t tokens_to_read)
{
    own_backlog_ -= std::min<std::uint64_t>(own_backlog_, tokens_to_read);
}

void server_state::note_ended()
{
    own_calls_ -= std::min(own_calls_, 1U);
    --change_since_;
}

void server_state::note_load(absl::Time now, const server_load& load)
{
    load_ = load;
    load_at_ = now;
    change_since_ = 0;
}

void server_state::note_success(absl::Time)
{
    failures_in_a_row_ = 0;
    ++calls_seen_;
    failure_share_ *= 1 - newest_weight;
    if (std::exchange(on_probation_, false))
        failure_share_ = 0;
    if (failure_share_ < settings_.failure_share / 4)
        ejections_ = 0;
}

void server_state::note_failure(absl::Time now)
{
    ++failures_in_a_row_;
    ++calls_seen_;
    failure_share_ += (1 - failure_share_) * newest_weight;
    const bool by_share = calls_seen_ >= settings_.least_calls &&
                          failure_share_ >= settings_.failure_share;
    if (on_probation_ || by_share ||
        failures_in_a_row_ >= settings_.failures_in_a_row)
        eject(now);
}

void server_state::note_unreachable(absl::Time now)
{
    // Nothing listens there now; its memory is most likely gone with it.
    cache_.clear();
    eject(now);
}

void server_state::eject(absl::Time now)
{
    if (is_ejected(now))
        return;
    const auto doublings = std::min(ejections_, most_doublings);
    const absl::Duration time = std::min(
        settings_.longest_time, settings_.first_time * (1U << doublings));
    ejected_until_ = now + time;
    on_probation_ = true;
    ++ejections_;
}

bool server_state::is_ejected(absl::Time now) const
{
    return now < ejected_until_;
}

absl::Time server_state::ejected_until() const
{
    return ejected_until_;
}

std::uint32_t server_state::failed_percent() const
{
    return static_cast<std::uint32_t>(failure_share_ * percent);
}

bool server_state::is_on_probation() const
{
    return on_probation_;
}

double server_state::calls_there(absl::Time now) const
{
    if (!load_)
        return own_calls_;
    const double age = absl::ToDoubleSeconds(now - load_at_);
    const double fade = std::exp(-age / absl::ToDoubleSeconds(load_fades_in));
    const double told = static_cast<double>(load_->running + load_->waiting) +
                        static_cast<double>(change_since_);
    return std::max<double>(own_calls_, told * fade);
}

void server_state::note_first_event(double expected_ms, double seen_ms)
{
    const double ratio = seen_ms / std::max(expected_ms, 1.0);
    const double next =
        slowness_ * (1 - slowness_weight + slowness_weight * ratio);
    slowness_ = std::clamp(next, least_slowness, most_slowness);
}

double server_state::slowness() const
{
    return slowness_;
}

void server_state::assume_slowness(double slowness)
{
    slowness_ = slowness;
}

std::uint32_t server_state::own_calls() const
{
    return own_calls_;
}

std::uint64_t server_state::own_backlog_tokens() const
{
    return own_backlog_;
}

prompt_cache& server_state::cache()
{
    return cache_;
}

const prompt_cache& server_state::cache() const
{
    return cache_;
}

} // namespace oriolefall::dispatch

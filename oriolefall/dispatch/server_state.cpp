#include "oriolefall/dispatch/server_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Weight of the newest call in the moving average of the failure ratio.
constexpr double newest_call_weight = 0.125;
/// Time constant with which the weight of a load report decays.
constexpr absl::Duration load_decay_time = absl::Seconds(2);
constexpr std::uint32_t max_doublings = 4;
/// Weight of the newest measurement in the slowness.
constexpr double slowness_weight = 0.15;
constexpr double min_slowness = 0.15;
constexpr double max_slowness = 6;
constexpr double percent = 100;
/// A server that reports more calls, or that runs more than its slots, is taken
/// to report nonsense.
constexpr std::uint32_t max_plausible_calls = 100'000;
/// Reported calls count up to this multiple of the slots, so that a wrong
/// figure is outlived within seconds.
constexpr double max_calls_per_slot = 4;

bool is_plausible(const server_load& load)
{
    return load.running <= max_plausible_calls &&
           load.waiting <= max_plausible_calls &&
           (load.slots == 0 || load.running <= load.slots);
}

} // namespace

server_state::server_state(server_entry entry,
                           const ejection_settings& settings,
                           const capacity_settings& capacity)
    : entry_(std::move(entry)), settings_(settings),
      capacity_settings_(capacity), capacity_(capacity, entry_.slots)
{
}

void server_state::update_entry(server_entry entry)
{
    const bool is_restarted = entry.started_at_ms != entry_.started_at_ms;
    if (entry.slots != entry_.slots)
        capacity_.set_slots(entry.slots);
    entry_ = std::move(entry);
    if (!is_restarted)
        return;
    capacity_ = server_capacity(capacity_settings_, entry_.slots);
    heard_load_.reset();
    heard_load_at_ = absl::InfinitePast();
    cache_.clear();
    load_.reset();
    limiter_ = {};
    restriction = {};
    consecutive_failures_ = 0;
    failure_ratio_ = 0;
    recorded_calls_ = 0;
    ejections_ = 0;
    ejected_until_ = absl::InfinitePast();
    is_on_probation_ = false;
}

const server_entry& server_state::entry() const
{
    return entry_;
}

void server_state::record_call_sent(std::uint32_t uncached_tokens)
{
    ++own_calls_;
    ++calls_since_load_;
    own_backlog_ += uncached_tokens;
}

void server_state::record_prefill(std::uint32_t uncached_tokens)
{
    own_backlog_ -= std::min<std::uint64_t>(own_backlog_, uncached_tokens);
}

void server_state::record_call_ended()
{
    own_calls_ -= std::min(own_calls_, 1U);
    --calls_since_load_;
}

void server_state::update_load(absl::Time now, const server_load& load)
{
    load_ = load;
    load_received_at_ = now;
    calls_since_load_ = 0;
    heard_load_ = load;
    heard_load_at_ = now;
    capacity_.record_work(now, load.work_percent);
}

void server_state::update_heard_load(absl::Time heard_at,
                                     const server_load& load)
{
    if ((load_ && heard_at <= load_received_at_) || !is_plausible(load))
        return;
    load_ = load;
    load_received_at_ = heard_at;
    // Which of the own calls it includes is not known; those that were sent
    // since the last own report may count twice, but none is left out.
    calls_since_load_ = std::max<std::int64_t>(calls_since_load_, 0);
}

void server_state::set_peer_load(double calls, double backlog_tokens)
{
    peer_calls_ = calls;
    peer_backlog_ = backlog_tokens;
}

void server_state::record_success(absl::Time)
{
    consecutive_failures_ = 0;
    ++recorded_calls_;
    failure_ratio_ *= 1 - newest_call_weight;
    if (std::exchange(is_on_probation_, false))
        failure_ratio_ = 0;
    if (failure_ratio_ < settings_.failure_ratio / 4)
        ejections_ = 0;
}

void server_state::record_failure(absl::Time now)
{
    ++consecutive_failures_;
    ++recorded_calls_;
    failure_ratio_ += (1 - failure_ratio_) * newest_call_weight;
    const bool exceeds_ratio = recorded_calls_ >= settings_.min_calls &&
                               failure_ratio_ >= settings_.failure_ratio;
    if (is_on_probation_ || exceeds_ratio ||
        consecutive_failures_ >= settings_.consecutive_failures)
        eject(now);
}

void server_state::record_unreachable(absl::Time now)
{
    // The server has most likely stopped, and its prompt cache is lost.
    cache_.clear();
    eject(now);
}

void server_state::eject(absl::Time now)
{
    if (is_ejected(now))
        return;
    const auto doublings = std::min(ejections_, max_doublings);
    const absl::Duration ejection_time =
        std::min(settings_.max_ejection_time,
                 settings_.base_ejection_time * (1U << doublings));
    ejected_until_ = now + ejection_time;
    is_on_probation_ = true;
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
    return static_cast<std::uint32_t>(failure_ratio_ * percent);
}

bool server_state::is_on_probation() const
{
    return is_on_probation_;
}

double server_state::estimated_calls(absl::Time now) const
{
    if (learns_capacity_)
        return learned_calls(now);
    if (!load_)
        return own_calls_;
    const double age = absl::ToDoubleSeconds(now - load_received_at_);
    const double decay =
        std::exp(-age / absl::ToDoubleSeconds(load_decay_time));
    const double reported =
        static_cast<double>(load_->running + load_->waiting) +
        static_cast<double>(calls_since_load_);
    return std::max<double>(own_calls_, reported * decay);
}

double server_state::learned_calls(absl::Time now) const
{
    const double of_instances = own_calls_ + peer_calls_;
    if (!load_ || !is_plausible(*load_))
        return of_instances;
    const double decay =
        std::exp(-absl::FDivDuration(now - load_received_at_, load_decay_time));
    const double slots = std::max(entry_.slots, 1U);
    const double reported = std::min<double>(load_->running + load_->waiting,
                                             max_calls_per_slot * slots);
    return std::max(of_instances,
                    reported * decay + static_cast<double>(calls_since_load_));
}

bool server_state::learns_capacity() const
{
    return learns_capacity_;
}

void server_state::set_learns_capacity(bool learns_capacity)
{
    learns_capacity_ = learns_capacity;
}

server_capacity& server_state::capacity()
{
    return capacity_;
}

const server_capacity& server_state::capacity() const
{
    return capacity_;
}

const std::optional<server_load>& server_state::heard_load() const
{
    return heard_load_;
}

absl::Time server_state::heard_load_at() const
{
    return heard_load_at_;
}

double server_state::call_limit(absl::Time now) const
{
    return learns_capacity_ ? capacity_.call_limit(now)
                            : std::max(entry_.slots, 1U);
}

double server_state::call_limit() const
{
    return call_limit(load_received_at_);
}

bool server_state::admits(absl::Time now, std::uint32_t uncached_tokens,
                          std::uint32_t priority) const
{
    const double share =
        priority == 0 ? 1 : 1 - capacity_settings_.urgent_share;
    if (estimated_calls(now) >= share * call_limit(now))
        return false;
    const double backlog = static_cast<double>(own_backlog_) + peer_backlog_;
    const absl::Duration gap_target = capacity_.shortest_gap_target(now);
    if (!learns_capacity_ || backlog <= 0 || uncached_tokens == 0 ||
        gap_target == absl::InfiniteDuration())
        return true;
    const double backlog_ms = (backlog + uncached_tokens) *
                              capacity_.time_scale(now) /
                              capacity_settings_.prefill_tokens_per_ms;
    return backlog_ms <= capacity_settings_.max_backlog_per_gap_target *
                             absl::ToDoubleMilliseconds(gap_target);
}

void server_state::record_first_event(double expected_ms, double measured_ms)
{
    const double ratio = measured_ms / std::max(expected_ms, 1.0);
    const double next =
        slowness_ * (1 - slowness_weight + slowness_weight * ratio);
    slowness_ = std::clamp(next, min_slowness, max_slowness);
}

double server_state::slowness() const
{
    return slowness_;
}

void server_state::set_initial_slowness(double slowness)
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

rate_limiter& server_state::limiter()
{
    return limiter_;
}

const rate_limiter& server_state::limiter() const
{
    return limiter_;
}

} // namespace oriolefall::dispatch

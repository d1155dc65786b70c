#include "oriolefall/move/mover.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <utility>

namespace oriolefall::move {

namespace {

constexpr std::uint32_t full_percent = 100;
/// Delay after a write of the move that was not applied.
constexpr absl::Duration write_retry_delay = absl::Seconds(1);
/// How often the lease holder checks whether something is due.
constexpr absl::Duration tick_interval = absl::Seconds(1);

} // namespace

std::string_view to_string(wait_cause value)
{
    constexpr std::array<std::string_view, 9> names{
        "nothing", "lease",   "platform",   "operators", "models",
        "hold",    "answers", "attainment", "drain"};
    const auto index = static_cast<std::size_t>(value);
    assert(index < names.size());
    return names[index];
}

mover::mover(core::instance_id self, mover_settings settings)
    : self_(std::move(self)), settings_(std::move(settings)),
      lease_(self_, settings_.lease)
{
    assert(!settings_.slot_percents.empty());
    assert(settings_.slot_percents.back() == full_percent);
    assert(std::ranges::is_sorted(settings_.slot_percents));
}

void mover::step(absl::Time now, const event& event, std::vector<action>& out)
{
    std::visit([&](const auto& some) { on(now, some); }, event);
    advance(now, out);
}

absl::Time mover::next_tick(absl::Time now) const
{
    if (!object_ || is_ended(*object_))
        return absl::InfiniteFuture();
    if (lease_.is_held(now))
        return now + tick_interval;
    return std::max(now, lease_.next_write_at());
}

bool mover::is_holder(absl::Time now) const
{
    return lease_.is_held(now);
}

void mover::on(absl::Time now, const move_received& event)
{
    if (event.version > version_)
        set_object(now, event.object, event.version);
}

void mover::on(absl::Time now, const lease_received& event)
{
    lease_.on_received(now, event.lease, event.version);
}

void mover::on(absl::Time now, const lease_write_ended& event)
{
    if (event.version > 0)
        lease_.on_write_applied(event.version);
    else
        lease_.on_write_failed(now);
}

void mover::on(absl::Time now, const move_write_ended& event)
{
    assert(pending_.has_value());
    const move_object stored = *std::exchange(pending_, std::nullopt);
    if (event.version > version_)
        set_object(now, stored, event.version);
    else if (event.version == 0)
        retry_at_ = now + write_retry_delay;
}

void mover::on(absl::Time, const command_answered& event)
{
    warmup_.on(event);
}

void mover::on(absl::Time, const attainment_reported& event)
{
    attainment_.add(event);
}

void mover::on(absl::Time, const server_load_reported& event)
{
    running_[event.server] = event.running;
}

void mover::on(absl::Time, const tick&) {}

void mover::set_object(absl::Time now, const move_object& object,
                       std::uint64_t version)
{
    const bool is_new_step = !object_ || object_->phase != object.phase ||
                             object_->percent != object.percent ||
                             object_->history != object.history;
    if (!object_ || object_->arriving != object.arriving)
        warmup_.begin(object.arriving);
    if (is_new_step) {
        step_started_at_ = now;
        attainment_.clear();
        running_.clear();
    }
    object_ = object;
    version_ = version;
}

void mover::advance(absl::Time now, std::vector<action>& out)
{
    if (!object_)
        return;
    if (is_ended(*object_)) {
        if (const auto write = lease_.release(now))
            out.emplace_back(*write);
        return;
    }
    if (const auto write = lease_.due_write(now))
        out.emplace_back(*write);
    if (!lease_.is_held(now))
        return;
    begin_term(now);
    if (pending_ || now < retry_at_ || apply_requested_state(now, out))
        return;
    if (!object_->paused)
        advance_phase(now, out);
}

void mover::begin_term(absl::Time now)
{
    if (term_ == lease_.fencing_number())
        return;
    term_ = lease_.fencing_number();
    // Commands of an earlier holder may still be in transit.
    unfenced_commands_from_ = now + settings_.command_timeout;
    step_started_at_ = now;
    attainment_.clear();
    running_.clear();
    warmup_.begin(object_->arriving);
}

bool mover::apply_requested_state(absl::Time now, std::vector<action>& out)
{
    move_object next = *object_;
    if (next.requested_state == requested_state::abort) {
        next.phase = phase::aborted;
        next.percent = 0;
        store(now, next, step_cause::operator_aborted, {}, out);
        return true;
    }
    const bool is_pause_requested =
        next.requested_state == requested_state::pause;
    if (is_pause_requested == next.paused)
        return false;
    next.paused = is_pause_requested;
    store(now, next,
          is_pause_requested ? step_cause::operator_paused
                             : step_cause::operator_resumed,
          {}, out);
    return true;
}

void mover::advance_phase(absl::Time now, std::vector<action>& out)
{
    warmup_.step(now, {term_, unfenced_commands_from_, lease_.held_until()},
                 settings_, out);
    move_object next = *object_;
    switch (next.phase) {
    case phase::accepted:
        next.phase = phase::warming;
        return store(now, next, step_cause::begun, {}, out);
    case phase::warming:
        if (!warmup_.is_complete())
            return;
        next.phase = phase::shifting;
        next.percent = settings_.slot_percents.front();
        return store(now, next, step_cause::models_loaded, {}, out);
    case phase::shifting:
        return advance_shift(now, out);
    case phase::draining:
        if (!undrained_servers().empty())
            return;
        next.phase = phase::done;
        return store(now, next, step_cause::all_drained, {}, out);
    case phase::done:
    case phase::aborted:
        return;
    }
}

void mover::advance_shift(absl::Time now, std::vector<action>& out)
{
    const auto lowest_so_far = attainment_.lowest(settings_.min_answers);
    if (lowest_so_far && lowest_so_far->attainment < settings_.min_attainment &&
        object_->percent > settings_.slot_percents.front())
        return decrease_percent(now, *lowest_so_far, out);
    if (current_shift_wait(now).cause != wait_cause::nothing)
        return;
    // A class without traffic is not evaluated. Without any traffic, targets
    // count as met.
    const lowest_attainment lowest =
        attainment_.lowest(settings_.min_answers)
            .value_or(attainment_.lowest(1).value_or(lowest_attainment{}));
    if (lowest.attainment < settings_.min_attainment)
        decrease_percent(now, lowest, out);
    else
        increase_percent(now, lowest, out);
}

void mover::increase_percent(absl::Time now, const lowest_attainment& lowest,
                             std::vector<action>& out)
{
    move_object next = *object_;
    if (next.percent >= full_percent) {
        next.phase = phase::draining;
        return store(now, next, step_cause::all_shifted, lowest, out);
    }
    next.percent = next_percent();
    store(now, next, step_cause::attainment_held, lowest, out);
}

void mover::decrease_percent(absl::Time now, const lowest_attainment& lowest,
                             std::vector<action>& out)
{
    move_object next = *object_;
    next.percent = previous_percent();
    store(now, next, step_cause::attainment_missed, lowest, out);
}

void mover::store(absl::Time now, move_object next, step_cause cause,
                  const std::optional<lowest_attainment>& lowest,
                  std::vector<action>& out)
{
    assert(!pending_ && may_follow(object_->phase, next.phase));
    next.history.push_back({now + settings_.wall_clock_offset, next.phase,
                            next.percent, cause,
                            lowest ? lowest->name : core::class_name(),
                            lowest ? lowest->attainment : 0.0, term_});
    if (next.history.size() > max_history_steps)
        next.history.erase(next.history.begin());
    pending_ = next;
    out.emplace_back(store_move{std::move(next), version_});
}

std::uint32_t mover::next_percent() const
{
    const auto next =
        std::ranges::upper_bound(settings_.slot_percents, object_->percent);
    return next == settings_.slot_percents.end() ? full_percent : *next;
}

std::uint32_t mover::previous_percent() const
{
    const auto current =
        std::ranges::lower_bound(settings_.slot_percents, object_->percent);
    return current == settings_.slot_percents.begin()
               ? settings_.slot_percents.front()
               : *std::prev(current);
}

std::vector<std::string> mover::undrained_servers() const
{
    std::vector<std::string> names;
    for (const core::backend_server_id& server : object_->leaving) {
        const auto reported = running_.find(server);
        if (reported == running_.end() || reported->second > 0)
            names.push_back(server.value());
    }
    return names;
}

wait_status mover::current_wait(absl::Time now) const
{
    if (object_ && is_ended(*object_))
        return {};
    if (!object_ || !lease_.is_held(now))
        return {wait_cause::lease, {}};
    if (object_->paused)
        return {wait_cause::operators, {}};
    if (object_->phase == phase::warming && !warmup_.is_complete())
        return {wait_cause::models, warmup_.missing()};
    if (object_->phase == phase::draining && !undrained_servers().empty())
        return {wait_cause::drain, undrained_servers()};
    if (object_->phase == phase::shifting) {
        wait_status shift_wait = current_shift_wait(now);
        if (shift_wait.cause != wait_cause::nothing)
            return shift_wait;
    }
    return {pending_ ? wait_cause::platform : wait_cause::nothing, {}};
}

wait_status mover::current_shift_wait(absl::Time now) const
{
    const absl::Duration step_time = now - step_started_at_;
    const bool was_decreased =
        !object_->history.empty() &&
        object_->history.back().cause == step_cause::attainment_missed;
    if (step_time < settings_.min_step_time) {
        if (!was_decreased)
            return {wait_cause::hold, {}};
        return {wait_cause::attainment,
                {object_->history.back().lowest_class.value()}};
    }
    if (!attainment_.is_complete(settings_.min_answers) &&
        step_time < settings_.max_answer_wait)
        return {wait_cause::answers, {}};
    return {};
}

} // namespace oriolefall::move

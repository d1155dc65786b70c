#include "oriolefall/move/mover.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <utility>

namespace oriolefall::move {

namespace {

constexpr std::uint32_t whole_percent = 100;
/// Pause after a write of the move that did not apply.
constexpr absl::Duration write_retry = absl::Seconds(1);
/// How often the holder looks whether something is due.
constexpr absl::Duration longest_tick = absl::Seconds(1);

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
    assert(!settings_.percents.empty());
    assert(settings_.percents.back() == whole_percent);
    assert(std::ranges::is_sorted(settings_.percents));
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
        return now + longest_tick;
    return std::max(now, lease_.next_due());
}

bool mover::is_holder(absl::Time now) const
{
    return lease_.is_held(now);
}

void mover::on(absl::Time now, const move_seen& event)
{
    if (event.version > version_)
        keep(now, event.object, event.version);
}

void mover::on(absl::Time now, const lease_seen& event)
{
    lease_.seen(now, event.lease, event.version);
}

void mover::on(absl::Time now, const lease_write_ended& event)
{
    if (event.version > 0)
        lease_.written(event.version);
    else
        lease_.write_failed(now);
}

void mover::on(absl::Time now, const move_write_ended& event)
{
    assert(pending_.has_value());
    const move_object stored = *std::exchange(pending_, std::nullopt);
    if (event.version > version_)
        keep(now, stored, event.version);
    else if (event.version == 0)
        retry_at_ = now + write_retry;
}

void mover::on(absl::Time, const order_answered& event)
{
    warmup_.on(event);
}

void mover::on(absl::Time, const figures_reported& event)
{
    figures_.add(event);
}

void mover::on(absl::Time, const server_load_seen& event)
{
    running_[event.server] = event.running;
}

void mover::on(absl::Time, const tick&) {}

void mover::keep(absl::Time now, const move_object& object,
                 std::uint64_t version)
{
    const bool is_step = !object_ || object_->phase != object.phase ||
                         object_->percent != object.percent ||
                         object_->history != object.history;
    if (!object_ || object_->arriving != object.arriving)
        warmup_.begin(object.arriving);
    if (is_step) {
        step_at_ = now;
        figures_.clear();
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
        if (const auto freed = lease_.release(now))
            out.emplace_back(*freed);
        return;
    }
    if (const auto write = lease_.due(now))
        out.emplace_back(*write);
    if (!lease_.is_held(now))
        return;
    begin_term(now);
    if (pending_ || now < retry_at_ || follow_wish(now, out))
        return;
    if (!object_->paused)
        advance_phase(now, out);
}

void mover::begin_term(absl::Time now)
{
    if (term_ == lease_.fencing_number())
        return;
    term_ = lease_.fencing_number();
    // What an earlier holder ordered may still be on its way.
    quiet_until_ = now + settings_.order_limit;
    step_at_ = now;
    figures_.clear();
    running_.clear();
    warmup_.begin(object_->arriving);
}

bool mover::follow_wish(absl::Time now, std::vector<action>& out)
{
    move_object next = *object_;
    if (next.wish == wish::abort) {
        next.phase = phase::aborted;
        next.percent = 0;
        store(now, next, step_cause::operator_aborted, {}, out);
        return true;
    }
    const bool is_pause = next.wish == wish::pause;
    if (is_pause == next.paused)
        return false;
    next.paused = is_pause;
    store(now, next,
          is_pause ? step_cause::operator_paused : step_cause::operator_resumed,
          {}, out);
    return true;
}

void mover::advance_phase(absl::Time now, std::vector<action>& out)
{
    warmup_.step(now, {term_, quiet_until_, lease_.held_until()}, settings_,
                 out);
    move_object next = *object_;
    switch (next.phase) {
    case phase::accepted:
        next.phase = phase::warming;
        return store(now, next, step_cause::begun, {}, out);
    case phase::warming:
        if (!warmup_.is_complete())
            return;
        next.phase = phase::shifting;
        next.percent = settings_.percents.front();
        return store(now, next, step_cause::models_loaded, {}, out);
    case phase::shifting:
        return advance_shift(now, out);
    case phase::draining:
        if (!undrained().empty())
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
    const auto early = figures_.lowest(settings_.fewest_answers);
    if (early && early->attainment < settings_.attainment_floor &&
        object_->percent > settings_.percents.front())
        return turn_back(now, *early, out);
    if (waits_in_shift(now).cause != wait_cause::nothing)
        return;
    // A class without traffic says nothing; no traffic at all holds it.
    const lowest_attainment lowest =
        figures_.lowest(settings_.fewest_answers)
            .value_or(figures_.lowest(1).value_or(lowest_attainment{}));
    if (lowest.attainment < settings_.attainment_floor)
        turn_back(now, lowest, out);
    else
        shift_on(now, lowest, out);
}

void mover::shift_on(absl::Time now, const lowest_attainment& lowest,
                     std::vector<action>& out)
{
    move_object next = *object_;
    if (next.percent >= whole_percent) {
        next.phase = phase::draining;
        return store(now, next, step_cause::all_shifted, lowest, out);
    }
    next.percent = next_percent();
    store(now, next, step_cause::attainment_held, lowest, out);
}

void mover::turn_back(absl::Time now, const lowest_attainment& lowest,
                      std::vector<action>& out)
{
    move_object next = *object_;
    next.percent = previous_percent();
    store(now, next, step_cause::attainment_missed, lowest, out);
}

void mover::store(absl::Time now, move_object next, step_cause cause,
                  const std::optional<lowest_attainment>& figures,
                  std::vector<action>& out)
{
    assert(!pending_ && may_follow(object_->phase, next.phase));
    next.history.push_back({now + settings_.to_calendar, next.phase,
                            next.percent, cause,
                            figures ? figures->name : core::class_name(),
                            figures ? figures->attainment : 0.0, term_});
    if (next.history.size() > longest_history)
        next.history.erase(next.history.begin());
    pending_ = next;
    out.emplace_back(store_move{std::move(next), version_});
}

std::uint32_t mover::next_percent() const
{
    const auto next =
        std::ranges::upper_bound(settings_.percents, object_->percent);
    return next == settings_.percents.end() ? whole_percent : *next;
}

std::uint32_t mover::previous_percent() const
{
    const auto here =
        std::ranges::lower_bound(settings_.percents, object_->percent);
    return here == settings_.percents.begin() ? settings_.percents.front()
                                              : *std::prev(here);
}

std::vector<std::string> mover::undrained() const
{
    std::vector<std::string> names;
    for (const core::backend_server_id& server : object_->leaving) {
        const auto seen = running_.find(server);
        if (seen == running_.end() || seen->second > 0)
            names.push_back(server.value());
    }
    return names;
}

waiting mover::waits_for(absl::Time now) const
{
    if (object_ && is_ended(*object_))
        return {};
    if (!object_ || !lease_.is_held(now))
        return {wait_cause::lease, {}};
    if (object_->paused)
        return {wait_cause::operators, {}};
    if (object_->phase == phase::warming && !warmup_.is_complete())
        return {wait_cause::models, warmup_.missing()};
    if (object_->phase == phase::draining && !undrained().empty())
        return {wait_cause::drain, undrained()};
    if (object_->phase == phase::shifting) {
        waiting shift = waits_in_shift(now);
        if (shift.cause != wait_cause::nothing)
            return shift;
    }
    return {pending_ ? wait_cause::platform : wait_cause::nothing, {}};
}

waiting mover::waits_in_shift(absl::Time now) const
{
    const absl::Duration at_step = now - step_at_;
    const bool was_turned_back =
        !object_->history.empty() &&
        object_->history.back().cause == step_cause::attainment_missed;
    if (at_step < settings_.step_hold) {
        if (!was_turned_back)
            return {wait_cause::hold, {}};
        return {wait_cause::attainment,
                {object_->history.back().lowest_class.value()}};
    }
    if (!figures_.is_complete(settings_.fewest_answers) &&
        at_step < settings_.longest_judgement)
        return {wait_cause::answers, {}};
    return {};
}

} // namespace oriolefall::move

#include "oriolefall/singleton/singleton_duty.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <utility>
#include <variant>

namespace oriolefall::singleton {

namespace {

/// Longest wait of the timer. It does not count suspended time, but the lease
/// does.
constexpr absl::Duration max_wait = absl::Seconds(1);
/// Shortest wait for a planner that had no task when it said that it may.
constexpr absl::Duration min_planner_wait = absl::Milliseconds(10);

std::function<double()> random_source()
{
    auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
    return [engine] {
        return std::uniform_real_distribution<double>(0, 1)(*engine);
    };
}

std::shared_ptr<follow::store_connection>
connection_to_provider(asio::io_context& context,
                       const singleton_settings& settings)
{
    return std::make_shared<follow::store_connection>(
        context, settings.provider,
        follow::store_connection_settings{
            .ack_timeout = settings.answer_timeout, .resets_on_close = true});
}

} // namespace

singleton_duty::singleton_duty(singleton_settings settings,
                               duty_protocol protocol, singleton_hooks hooks,
                               std::vector<duties::planner> planners)
    : settings_(std::move(settings)), protocol_(std::move(protocol)),
      hooks_(std::move(hooks)), planners_(std::move(planners)),
      lease_(
          settings_.lease, protocol_,
          std::make_shared<follow::store_connection>(context_, settings_.store),
          {hooks_.clock, random_source(), [this] { step(); },
           hooks_.on_store_epoch}),
      runner_(settings_, protocol_,
              {std::make_shared<follow::store_connection>(
                   context_, settings_.store, follow::list_connection_settings),
               connection_to_provider(context_, settings_)}),
      bucket_(settings_.provider_calls_per_s, settings_.provider_burst),
      publisher_(
          std::make_shared<follow::store_connection>(context_, settings_.store),
          hooks_.clock, hooks_.publisher),
      timer_(context_), inputs_(settings_.ring_capacity)
{
}

singleton_duty::~singleton_duty()
{
    stop();
}

void singleton_duty::start()
{
    thread_.emplace("singleton", [this] {
        const auto work = asio::make_work_guard(context_);
        context_.run();
    });
}

void singleton_duty::stop()
{
    context_.stop();
    thread_.reset();
}

void singleton_duty::set_candidate(bool is_candidate)
{
    if (is_candidate_.exchange(is_candidate) != is_candidate)
        asio::post(context_, [this] { step(); });
}

void singleton_duty::leave()
{
    if (!is_leaving_.exchange(true))
        asio::post(context_, [this] { step(); });
}

bool singleton_duty::post(std::function<void()> input)
{
    if (!inputs_.try_push(std::move(input)))
        return false;
    if (!is_wakeup_pending_.exchange(true))
        asio::post(context_, [this] { process_inputs(); });
    return true;
}

void singleton_duty::process_inputs()
{
    is_wakeup_pending_ = false;
    std::vector<std::function<void()>> batch;
    inputs_.pop_some(batch, settings_.ring_capacity,
                     std::chrono::steady_clock::time_point{});
    for (const auto& input : batch)
        input();
    step();
}

void singleton_duty::step()
{
    const absl::Time now = hooks_.clock();
    update_candidate();
    note_lease(now);
    const bool was_held = lease_.lease().is_held(now);
    lease_.step(now, may_release(now));
    // Only the release itself ends a held lease here.
    is_releasing_ = was_held && !lease_.lease().is_held(now);
    note_lease(now);
    publisher_.step(now);
    start_task(now);
    schedule(now);
}

void singleton_duty::update_candidate()
{
    lease_.set_candidate(is_candidate_ && !is_leaving_);
}

bool singleton_duty::may_release(absl::Time now) const
{
    // A call that is under way could arrive after the next holder's.
    return !is_task_running_ && now >= unanswered_until_;
}

void singleton_duty::note_lease(absl::Time now)
{
    const leasing::lease_manager& lease = lease_.lease();
    const std::optional<std::uint64_t> number =
        lease.is_held(now) ? std::optional(lease.fencing_number())
                           : std::nullopt;
    if (number == announced_number_)
        return;
    const auto before = std::exchange(announced_number_, number);
    if (before)
        hooks_.on_lease_changed(is_releasing_ ? lease_change::released
                                              : lease_change::lost,
                                *before);
    if (!number)
        return;
    ++acquisitions_;
    hooks_.on_lease_changed(lease_change::acquired, *number);
    for (const duties::planner& each : planners_)
        each.on_acquired(now, *number);
}

bool singleton_duty::may_act(absl::Time now) const
{
    return lease_.is_candidate() &&
           lease_.lease().is_held(now + settings_.min_lease_left);
}

void singleton_duty::start_task(absl::Time now)
{
    if (is_task_running_ || !may_act(now) || now < bucket_.next_at())
        return;
    for (std::size_t i = 0; i < planners_.size(); ++i) {
        const std::size_t chosen = (next_planner_ + i) % planners_.size();
        const duties::planner& planner = planners_[chosen];
        if (planner.next_at() > now)
            continue;
        if (const auto task = planner.next(now)) {
            next_planner_ = chosen + 1;
            run_task(chosen, *task);
            return;
        }
    }
}

void singleton_duty::run_task(std::size_t planner, const duties::task& task)
{
    is_task_running_ = true;
    was_sent_ = false;
    const std::uint64_t number = lease_.lease().fencing_number();
    runner_.run(
        task, number, [this, number] { return check_send(number); },
        [this, planner, task, acquisition = acquisitions_,
         number](const duties::task_result& result) {
            if (const auto* call = std::get_if<duties::provider_call>(&task))
                hooks_.on_provider_call(
                    {planners_[planner].name, *call, number, result});
            on_task_ended(planner, acquisition, task, result);
        });
}

bool singleton_duty::check_send(std::uint64_t fencing_number)
{
    const absl::Time now = hooks_.clock();
    if (!may_act(now) || lease_.lease().fencing_number() != fencing_number)
        return false;
    bucket_.take(now);
    was_sent_ = true;
    return true;
}

void singleton_duty::on_task_ended(std::size_t planner,
                                   std::uint64_t acquisition,
                                   const duties::task& task,
                                   const duties::task_result& result)
{
    is_task_running_ = false;
    const absl::Time now = hooks_.clock();
    if (was_sent_ && std::holds_alternative<duties::task_failed>(result))
        unanswered_until_ =
            now + settings_.lease.lease.duration + settings_.lease.lease.margin;
    if (acquisition == acquisitions_)
        planners_[planner].on_result(now, task, result);
    step();
}

absl::Time singleton_duty::next_task_at(absl::Time now) const
{
    if (is_task_running_ || !may_act(now))
        return absl::InfiniteFuture();
    absl::Time next = absl::InfiniteFuture();
    for (const duties::planner& each : planners_)
        next = std::min(next, each.next_at());
    return std::max({next, bucket_.next_at(), now + min_planner_wait});
}

void singleton_duty::schedule(absl::Time now)
{
    const absl::Time next =
        std::min({lease_.next_at(now), next_task_at(now), now + max_wait});
    const absl::Duration wait = std::max(next - now, absl::ZeroDuration());
    timer_.expires_after(absl::ToChronoMilliseconds(wait) +
                         std::chrono::milliseconds(1));
    timer_.async_wait([this](const error_code& error) {
        if (!error)
            step();
    });
}

} // namespace oriolefall::singleton

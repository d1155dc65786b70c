#include "oriolefall/observe/recorder.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/observe/json_log.hpp"

#include <utility>

namespace oriolefall::observe {

namespace {

constexpr absl::Duration query_wait = absl::Seconds(2);

/// The answer to a query, or an empty text when none came in time.
std::string wait_for(reply_ring& reply)
{
    const absl::Time until = core::monotonic_now() + query_wait;
    auto answer = reply.pop_until(core::to_steady(until));
    auto* text = std::get_if<std::string>(&answer);
    return text == nullptr ? std::string() : std::move(*text);
}

} // namespace

recorder::recorder(const recorder_settings& settings)
    : records_(settings.ring_capacity),
      explanations_(settings.explained_requests),
      thread_("recorder", [this] { run(); })
{
}

recorder::~recorder()
{
    records_.close();
    thread_.join();
}

void recorder::tell(record what)
{
    if (!records_.try_push(std::move(what)))
        ++dropped_;
}

std::string recorder::metrics()
{
    const auto reply = std::make_shared<reply_ring>(1);
    tell(metrics_query{reply});
    return wait_for(*reply);
}

std::optional<std::string> recorder::explain(core::request_id request)
{
    const auto reply = std::make_shared<reply_ring>(1);
    tell(explain_query{request, reply});
    std::string text = wait_for(*reply);
    if (text.empty())
        return std::nullopt;
    return text;
}

void recorder::run()
{
    while (const auto what = records_.pop())
        std::visit([this](const auto& some) { take(some); }, *what);
}

void recorder::take(const request_finished& end)
{
    metrics_.add(end);
    explanations_.add(end);
    write_log(log_level::info, log_members(end));
}

void recorder::take(const decision_step& step)
{
    metrics_.add(step);
    explanations_.add(step);
}

void recorder::take(const early_refusal& refusal)
{
    metrics_.add(refusal);
}

void recorder::take(const log_note& note)
{
    write_log(note.level, log_members(note));
}

void recorder::take(const counter_added& counter)
{
    metrics_.add(counter);
}

void recorder::take(const metrics_query& query)
{
    const std::uint64_t lost = dropped_.exchange(0);
    metrics_.add(counter_added{"records_dropped_total", "", "", lost});
    query.reply->try_push(metrics_.text());
}

void recorder::take(const explain_query& query)
{
    query.reply->try_push(explanations_.explain(query.request));
}

} // namespace oriolefall::observe

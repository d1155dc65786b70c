#include "oriolefall/observe/recorder.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/observe/json_log.hpp"

#include <utility>

namespace oriolefall::observe {

namespace {

constexpr absl::Duration query_timeout = absl::Seconds(2);

/// The answer to a query, or an empty string after `query_timeout`.
std::string wait_for_reply(reply_ring& reply)
{
    const absl::Time deadline = core::monotonic_now() + query_timeout;
    auto answer = reply.pop_until(core::to_steady(deadline));
    auto* text = std::get_if<std::string>(&answer);
    return text == nullptr ? std::string() : std::move(*text);
}

} // namespace

recorder::recorder(const recorder_settings& settings)
    : records_(settings.ring_capacity),
      explanations_(settings.max_explained_requests),
      thread_("recorder", [this] { run(); })
{
}

recorder::~recorder()
{
    records_.close();
    thread_.join();
}

void recorder::report(record entry)
{
    if (!records_.try_push(std::move(entry)))
        ++dropped_;
}

std::string recorder::metrics()
{
    const auto reply = std::make_shared<reply_ring>(1);
    report(metrics_query{reply});
    return wait_for_reply(*reply);
}

std::optional<std::string> recorder::explain(core::request_id request)
{
    const auto reply = std::make_shared<reply_ring>(1);
    report(explain_query{request, reply});
    std::string text = wait_for_reply(*reply);
    if (text.empty())
        return std::nullopt;
    return text;
}

void recorder::run()
{
    while (const auto entry = records_.pop())
        std::visit([this](const auto& each) { handle(each); }, *entry);
}

void recorder::handle(const request_finished& end)
{
    metrics_.add(end);
    explanations_.add(end);
    write_log(log_level::info, log_members(end));
}

void recorder::handle(const decision_step& step)
{
    metrics_.add(step);
    explanations_.add(step);
}

void recorder::handle(const early_refusal& refusal)
{
    metrics_.add(refusal);
}

void recorder::handle(const log_entry& entry)
{
    write_log(entry.level, log_members(entry));
}

void recorder::handle(const counter_added& counter)
{
    metrics_.add(counter);
}

void recorder::handle(const metrics_query& query)
{
    const std::uint64_t dropped = dropped_.exchange(0);
    metrics_.add(counter_added{"records_dropped_total", "", "", dropped});
    query.reply->try_push(metrics_.text());
}

void recorder::handle(const explain_query& query)
{
    query.reply->try_push(explanations_.explain(query.request));
}

} // namespace oriolefall::observe

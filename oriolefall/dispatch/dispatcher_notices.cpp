#include "oriolefall/dispatch/dispatcher.hpp"

#include "oriolefall/dispatch/rate_share.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Maximum number of limits in one report.
constexpr std::size_t max_reported_limits = 64;

} // namespace

void dispatcher::apply_notice(const open_request& request,
                              const server_notice& notice)
{
    server_state* server = server_of(request);
    if (server == nullptr)
        return;
    if (notice.load)
        server->update_load(now_, *notice.load);
    changed_servers_.push_back(server->entry().id);
    apply_work_figure(*server, notice);
    apply_restrictions(*server, notice);
    // An answer to a call that was sent before the limit was heard may be older
    // than the limit.
    const bool says_nothing =
        notice.is_rate_limit_invalid ||
        (!notice.rate_limit &&
         request.call->sent_at <= server->limiter().heard_at());
    if (!says_nothing)
        update_rate_limit(*server, now_, notice.rate_limit);
}

void dispatcher::apply_restrictions(server_state& server,
                                    const server_notice& notice)
{
    constexpr std::uint64_t steps = 1000;
    const server_incarnation incarnation{server.entry().id,
                                         server.entry().started_at_ms};
    const auto log = [&](notice_kind kind, absl::Duration time) {
        actions_->push_back(notice_record{incarnation.server, kind, time});
    };
    if (notice.is_leaving && restrictions_.set_leaving(incarnation))
        log(notice_kind::leaving, absl::ZeroDuration());
    if (notice.quiet_time && *notice.quiet_time > absl::ZeroDuration()) {
        const double spread = settings_.max_quiet_time_spread *
                              static_cast<double>(hooks_.random() % steps) /
                              steps;
        const absl::Duration time = *notice.quiet_time * (1 + spread);
        if (restrictions_.set_quiet(incarnation, now_ + time))
            log(notice_kind::quiet, time);
    }
    server.restriction = restrictions_.of(incarnation);
    const bool is_invalid =
        notice.is_rate_limit_invalid || notice.is_quiet_time_invalid;
    if (is_invalid &&
        servers_with_invalid_notices_.size() <
            settings_.max_restricted_servers &&
        servers_with_invalid_notices_.insert(incarnation).second)
        log(notice.is_rate_limit_invalid ? notice_kind::invalid_limit
                                         : notice_kind::invalid_quiet,
            absl::ZeroDuration());
}

void dispatcher::update_rate_limit(server_state& server, absl::Time heard_at,
                                   std::optional<double> limit)
{
    if (!server.limiter().update(heard_at, limit))
        return;
    const auto& id = server.entry().id;
    if (limit) {
        limited_servers_.insert(id);
        update_rate_share(server);
    } else {
        limited_servers_.erase(id);
    }
    changed_limits_.insert(id);
    actions_->push_back(rate_limit_change{id, limit});
}

void dispatcher::update_rate_share(server_state& server)
{
    constexpr std::uint64_t steps = 1000;
    server.limiter().set_share(
        now_,
        own_rate_share(*server.limiter().limit(), server.entry().id,
                       settings_.own_instance, members_, instance_count_),
        static_cast<double>(hooks_.random() % steps) / steps);
}

void dispatcher::update_rate_shares()
{
    std::erase_if(limited_servers_, [this](const auto& id) {
        const auto found = servers_.find(id);
        return found == servers_.end() || !found->second->limiter().limit();
    });
    for (const core::backend_server_id& id : limited_servers_)
        update_rate_share(*servers_.at(id));
}

void dispatcher::on(const notice_report_received& event)
{
    for (const reported_limit& each : event.report.limits) {
        const auto found = servers_.find(each.server.server);
        if (found == servers_.end() ||
            found->second->entry().started_at_ms != each.server.started_at_ms)
            continue;
        const absl::Time heard_at = now_ - each.age;
        if (heard_at > found->second->limiter().heard_at())
            update_rate_limit(*found->second, heard_at, each.rate_limit);
        changed_servers_.push_back(each.server.server);
    }
}

void dispatcher::forget_old_limits()
{
    if (limited_servers_.empty() || now_ < next_limit_check_at_)
        return;
    next_limit_check_at_ = now_ + settings_.limit_check_interval;
    // Those that are told of a lifted limit need not find out. The others must
    // not find out all at once.
    const auto is_old = [this](const core::backend_server_id& id) {
        const auto found = servers_.find(id);
        if (found == servers_.end())
            return false;
        const rate_limiter& limiter = found->second->limiter();
        const double limit = std::max(*limiter.limit(), settings_.min_limit);
        const absl::Duration lifetime =
            std::max(settings_.min_limit_lifetime,
                     absl::Seconds(settings_.limit_lifetime_factor *
                                   instance_count_ / limit));
        return now_ - limiter.heard_at() > lifetime;
    };
    const auto limited = limited_servers_;
    for (const core::backend_server_id& id : limited)
        if (is_old(id))
            update_rate_limit(*servers_.at(id), now_, std::nullopt);
}

void dispatcher::report_notices()
{
    forget_old_limits();
    if (changed_limits_.empty() || now_ < next_notice_report_at_)
        return;
    next_notice_report_at_ = now_ + settings_.report_spacing;
    notice_report report;
    while (!changed_limits_.empty() &&
           report.limits.size() < max_reported_limits) {
        const auto id =
            changed_limits_.extract(changed_limits_.begin()).value();
        const auto found = servers_.find(id);
        if (found == servers_.end())
            continue;
        const rate_limiter& limiter = found->second->limiter();
        report.limits.push_back({{id, found->second->entry().started_at_ms},
                                 limiter.limit(),
                                 now_ - limiter.heard_at()});
    }
    if (!report.limits.empty())
        actions_->push_back(send_notice_report{std::move(report)});
}

} // namespace oriolefall::dispatch

#include "oriolefall/decision/class_table.hpp"

#include <algorithm>

namespace oriolefall::decision {

namespace {

constexpr double first_byte_prior_s = 0.1;
constexpr double token_interval_prior_s = 0.025;
/// Margin on the mean time to the first byte when a latency target is planned
/// for.
constexpr double first_byte_margin = 1.5;

double bounded_length(const core::request& request, double tokens)
{
    return request.max_tokens == 0
               ? tokens
               : std::min<double>(tokens, request.max_tokens);
}

} // namespace

double class_record::expected_service_time_s(const core::request& request) const
{
    const double first = first_byte_time.value_or(first_byte_prior_s);
    if (settings.kind == core::call_kind::service)
        return first;
    return first + bounded_length(request, output_lengths.mean()) *
                       token_interval.value_or(token_interval_prior_s);
}

double class_record::service_time_quantile_s(const core::request& request,
                                             double quantile) const
{
    const double first = first_byte_time.value_or(first_byte_prior_s);
    if (settings.kind == core::call_kind::service)
        return first * first_byte_margin;
    return first + bounded_length(request, output_lengths.quantile(quantile)) *
                       token_interval.value_or(token_interval_prior_s);
}

absl::Duration class_record::allowed_wait(const core::request& request,
                                          double quantile) const
{
    const core::latency_target& target = settings.target;
    const double first =
        first_byte_time.value_or(first_byte_prior_s) * first_byte_margin;
    absl::Duration allowed =
        settings.deadline - absl::Seconds(expected_service_time_s(request));
    allowed = std::min(allowed, target.first_token - absl::Seconds(first));
    if (target.whole_answer < absl::InfiniteDuration())
        allowed = std::min(allowed, target.whole_answer -
                                        absl::Seconds(service_time_quantile_s(
                                            request, quantile)));
    return std::max(allowed, absl::ZeroDuration());
}

void class_table::apply(const std::vector<core::service_class>& classes)
{
    for (class_record& record : records_)
        record.is_configured = false;
    for (const core::service_class& each : classes) {
        const auto next = static_cast<std::uint32_t>(records_.size());
        const auto [found, added] = indices_.try_emplace(each.name, next);
        if (added)
            records_.emplace_back();
        records_[found->second].settings = each;
        records_[found->second].is_configured = true;
    }
}

std::optional<std::uint32_t>
class_table::find(const core::class_name& name) const
{
    const auto found = indices_.find(name);
    if (found == indices_.end() || !records_[found->second].is_configured)
        return std::nullopt;
    return found->second;
}

} // namespace oriolefall::decision

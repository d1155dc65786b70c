#include "oriolefall/observe/metrics_registry.hpp"

#include "oriolefall/core/text.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace oriolefall::observe {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

std::string label(std::string_view name, std::string_view value)
{
    const std::string escaped = absl::StrReplaceAll(
        core::to_absl(value), {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
    return absl::StrCat(core::to_absl(name), "=\"", escaped, "\"");
}

std::string class_labels(const request_finished& end)
{
    return absl::StrCat(label("class", end.service_class.value()), ",",
                        label("tier", core::to_string(end.tier)));
}

/// Appends the lines of one summary: its quantiles, sum and count.
template <class Set>
void append_summary(std::string& page, const std::string& name,
                    const std::string& labels, const Set& set)
{
    auto value = acc::extended_p_square(set).begin();
    for (const double quantile : quantiles)
        absl::StrAppend(&page, name, "{", labels, ",quantile=\"", quantile,
                        "\"} ", *value++, "\n");
    absl::StrAppend(&page, name, "_sum{", labels, "} ", acc::sum(set), "\n");
    absl::StrAppend(&page, name, "_count{", labels, "} ", acc::count(set),
                    "\n");
}

} // namespace

metrics_registry::metrics_registry()
{
    // Counters of all reasons exist from the start, so that a rate can be
    // computed from their first increment on.
    for (const core::reason cause : core::all_reasons())
        increment("oriolefall_refusals_total",
                  label("reason", core::to_string(cause)), 0);
}

void metrics_registry::add(const request_finished& end)
{
    const std::string labels = class_labels(end);
    increment("oriolefall_requests_total",
              absl::StrCat(labels, ",",
                           label("verdict", core::to_string(end.verdict))));
    increment("oriolefall_attained_total", labels, end.attained ? 1 : 0);
    increment("oriolefall_tokens_total", labels, end.tokens);
    if (const auto* refused = std::get_if<core::not_run>(&end.verdict))
        add(early_refusal{refused->reason});
    if (const auto* lost = std::get_if<core::may_have_run>(&end.verdict))
        increment("oriolefall_failures_total",
                  label("reason", core::to_string(lost->reason)));
    if (!std::holds_alternative<core::ran>(end.verdict))
        return;
    record_latency("oriolefall_whole_answer_seconds", labels,
                   end.whole_answer_time);
    if (end.first_token_time != absl::InfiniteDuration())
        record_latency("oriolefall_first_token_seconds", labels,
                       end.first_token_time);
}

void metrics_registry::add(const decision_step& step)
{
    std::string labels = label("step", decision::to_string(step.step.kind));
    if (decision::has_cause(step.step.kind))
        absl::StrAppend(&labels, ",",
                        label("reason", core::to_string(step.step.cause)));
    increment("oriolefall_decisions_total", labels);
}

void metrics_registry::add(const early_refusal& refusal)
{
    increment("oriolefall_refusals_total",
              label("reason", core::to_string(refusal.cause)));
}

void metrics_registry::add(const counter_added& counter)
{
    const std::string labels = counter.label.empty()
                                   ? std::string()
                                   : label(counter.label, counter.label_value);
    increment(absl::StrCat("oriolefall_", counter.name), labels,
              counter.amount);
}

void metrics_registry::increment(const std::string& name,
                                 const std::string& labels,
                                 std::uint64_t amount)
{
    counters_[name][labels] += amount;
}

void metrics_registry::record_latency(const std::string& name,
                                      const std::string& labels,
                                      absl::Duration value)
{
    auto& series = latencies_[name];
    const auto found =
        series
            .try_emplace(labels,
                         acc::tag::extended_p_square::probabilities = quantiles)
            .first;
    found->second(absl::ToDoubleSeconds(value));
}

std::string metrics_registry::text() const
{
    std::string page;
    for (const auto& [name, values] : counters_) {
        absl::StrAppend(&page, "# TYPE ", name, " counter\n");
        for (const auto& [labels, value] : values)
            absl::StrAppend(&page, name, "{", labels, "} ", value, "\n");
    }
    for (const auto& [name, series] : latencies_) {
        absl::StrAppend(&page, "# TYPE ", name, " summary\n");
        for (const auto& [labels, set] : series)
            append_summary(page, name, labels, set);
    }
    return page;
}

} // namespace oriolefall::observe

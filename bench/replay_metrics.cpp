#include "bench/replay_metrics.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <ranges>
#include <variant>

namespace oriolefall::bench {

namespace {

/// What one request asks for, in answer tokens: a prompt token costs a
/// sixteenth of an answer token, a plain service's call as much as 32.
constexpr double prompt_token_size = 1.0 / 16.0;
constexpr double service_call_size = 32.0;

/// A request with what the trace says of it.
struct judged_request
{
    const trace_arrival* arrival = nullptr;
    const core::service_class* rules = nullptr;
    const request_outcome* outcome = nullptr;
    bool served = false;
    bool in_time = false;
    /// The caller left before a target could be missed, or repeated a key
    /// and was told so.
    bool not_counted = false;
};

using judged_requests = std::vector<judged_request>;

bool meets_targets(const judged_request& request)
{
    const absl::Duration at = request.arrival->at;
    const request_outcome& outcome = *request.outcome;
    const core::latency_target& target = request.rules->target;
    const absl::Duration whole = outcome.ended_at - at;
    if (whole > target.whole_answer || whole > request.rules->deadline)
        return false;
    if (request.rules->kind == core::call_kind::service)
        return true;
    if (outcome.first_token_at - at > target.first_token)
        return false;
    const std::uint32_t tokens = request.arrival->output_tokens;
    const absl::Duration spread =
        outcome.last_token_at - outcome.first_token_at;
    return tokens < 2 || spread / (tokens - 1) <= target.between_tokens;
}

/// True when the caller left before one of its targets was missed.
bool leaves_early(const judged_request& request)
{
    if (request.served || request.arrival->gone_at == absl::InfiniteDuration())
        return false;
    const core::latency_target& target = request.rules->target;
    const absl::Duration at = request.arrival->at;
    const absl::Duration stayed = request.arrival->gone_at - at;
    const absl::Duration first =
        std::min(request.outcome->first_token_at - at, stayed);
    return first <= target.first_token && stayed <= target.whole_answer &&
           stayed <= request.rules->deadline;
}

/// True for a repeat of a key that was told that the key has been used.
bool is_told_of_first(const request_outcome& outcome)
{
    if (!outcome.verdict)
        return false;
    const auto* told = std::get_if<core::may_have_run>(&*outcome.verdict);
    return told != nullptr && (told->reason == core::reason::duplicate_key ||
                               told->reason == core::reason::key_in_progress);
}

judged_requests judge(const trace& replayed, const replay_result& result)
{
    judged_requests all;
    for (const request_outcome& outcome : result.outcomes) {
        judged_request request;
        request.arrival = &replayed.arrivals[outcome.arrival];
        request.rules = &*std::ranges::find(replayed.header.classes,
                                            request.arrival->service_class,
                                            &core::service_class::name);
        request.outcome = &outcome;
        request.served = outcome.verdict &&
                         std::holds_alternative<core::ran>(*outcome.verdict) &&
                         outcome.ended_at <= request.arrival->gone_at;
        request.in_time = request.served && meets_targets(request);
        request.not_counted =
            leaves_early(request) || is_told_of_first(outcome);
        all.push_back(request);
    }
    return all;
}

double size_of(const judged_request& request)
{
    if (request.rules->kind == core::call_kind::service)
        return service_call_size;
    return request.arrival->output_tokens +
           prompt_token_size * request.arrival->prompt_tokens;
}

/// Max-min fair parts of `total` among those who ask for `demands`.
std::vector<double> max_min_shares(std::vector<double> demands, double total)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, {}, [&](std::size_t i) { return demands[i]; });
    std::size_t left = order.size();
    for (const std::size_t i : order) {
        demands[i] = std::min(demands[i], total / static_cast<double>(left));
        total -= demands[i];
        --left;
    }
    return demands;
}

/// Jain, Chiu and Hawe, 1984.
double jain_index(const judged_requests& requests)
{
    std::map<std::string, double> asked;
    std::map<std::string, double> received;
    for (const judged_request& request : requests) {
        const std::string& workspace = request.arrival->workspace.value();
        asked[workspace] += size_of(request);
        received[workspace] += request.served ? size_of(request) : 0.0;
    }
    std::vector<double> demands;
    std::ranges::copy(asked | std::views::values, std::back_inserter(demands));
    double total = 0.0;
    for (const double each : received | std::views::values)
        total += each;
    const std::vector<double> fair = max_min_shares(demands, total);
    double sum = 0.0;
    double squares = 0.0;
    std::size_t i = 0;
    for (const double each : received | std::views::values) {
        const double part = fair[i] > 0.0 ? each / fair[i] : 1.0;
        sum += part;
        squares += part * part;
        ++i;
    }
    return squares > 0.0 ? sum * sum / (static_cast<double>(i) * squares) : 0.0;
}

template <class Predicate>
double count(const judged_requests& requests, Predicate wanted)
{
    return static_cast<double>(std::ranges::count_if(requests, wanted));
}

double attainment(const judged_requests& requests)
{
    const double counted =
        count(requests, [](const auto& each) { return !each.not_counted; });
    const double met = count(requests, &judged_request::in_time);
    return counted > 0.0 ? met / counted : 1.0;
}

double worst_wait_ms(const judged_requests& requests)
{
    absl::Duration worst = absl::ZeroDuration();
    for (const judged_request& each : requests) {
        if (!each.served)
            continue;
        const request_outcome& outcome = *each.outcome;
        const absl::Duration first =
            std::min(outcome.first_token_at, outcome.ended_at);
        worst = std::max(worst, first - each.arrival->at);
    }
    return absl::ToDoubleMilliseconds(worst);
}

double wasted_ratio(const judged_requests& requests)
{
    double work = 0.0;
    double wasted = 0.0;
    for (const judged_request& each : requests) {
        const request_outcome& outcome = *each.outcome;
        work += absl::ToDoubleSeconds(outcome.work);
        wasted +=
            absl::ToDoubleSeconds(each.served ? outcome.wasted : outcome.work);
    }
    return work > 0.0 ? wasted / work : 0.0;
}

double tokens_in_time(const judged_requests& requests)
{
    double tokens = 0.0;
    for (const judged_request& each : requests)
        tokens += each.in_time ? each.arrival->output_tokens : 0.0;
    return tokens;
}

/// Adds the figures of one group of requests.
void add_group(const judged_requests& requests, const std::string& class_name,
               const std::string& tier, double seconds,
               std::vector<metric>& out)
{
    const auto add = [&](const char* name, double value) {
        out.push_back(metric{class_name, tier, name, value});
    };
    const auto refused = [](const judged_request& each) {
        return each.outcome->verdict &&
               std::holds_alternative<core::not_run>(*each.outcome->verdict);
    };
    add("offered", static_cast<double>(requests.size()));
    add("attainment", attainment(requests));
    add("served", count(requests, &judged_request::served));
    add("refused", count(requests, refused));
    add("goodput_requests_per_s",
        count(requests, &judged_request::in_time) / seconds);
    add("goodput_tokens_per_s", tokens_in_time(requests) / seconds);
    add("wasted_work_ratio", wasted_ratio(requests));
    add("worst_wait_ms", worst_wait_ms(requests));
}

/// Adds how many requests ended for each reason.
void add_reasons(const judged_requests& requests, const std::string& tier,
                 std::vector<metric>& out)
{
    std::map<std::string, double> counts;
    for (const judged_request& each : requests) {
        if (!each.outcome->verdict)
            continue;
        const core::verdict& verdict = *each.outcome->verdict;
        if (const auto* none = std::get_if<core::not_run>(&verdict))
            ++counts["not_run_" + std::string(core::to_string(none->reason))];
        if (const auto* some = std::get_if<core::may_have_run>(&verdict))
            ++counts["may_have_run_" +
                     std::string(core::to_string(some->reason))];
    }
    for (const auto& [name, value] : counts)
        out.push_back(metric{"all", tier, name, value});
}

judged_requests
select(const judged_requests& all,
       const std::function<bool(const core::service_class&)>& wanted)
{
    judged_requests some;
    std::ranges::copy_if(all, std::back_inserter(some),
                         [&](const auto& each) { return wanted(*each.rules); });
    return some;
}

} // namespace

std::vector<metric> measure(const trace& replayed, const replay_result& result)
{
    const judged_requests all = judge(replayed, result);
    const double seconds =
        replayed.arrivals.empty()
            ? 1.0
            : std::max(absl::ToDoubleSeconds(replayed.arrivals.back().at),
                       1e-3);
    std::vector<metric> out;
    add_group(all, "all", "all", seconds, out);
    double least_fair = 1.0;
    for (const core::tier tier : core::all_tiers) {
        const auto some = select(
            all, [tier](const auto& rules) { return rules.tier == tier; });
        if (some.empty())
            continue;
        const std::string name(core::to_string(tier));
        add_group(some, "all", name, seconds, out);
        add_reasons(some, name, out);
        const double fair = jain_index(some);
        least_fair = std::min(least_fair, fair);
        out.push_back(metric{"all", name, "jain_index", fair});
    }
    for (const core::service_class& rules : replayed.header.classes) {
        const auto some = select(all, [&rules](const auto& each) {
            return each.name == rules.name;
        });
        if (!some.empty())
            add_group(some, rules.name.value(),
                      std::string(core::to_string(rules.tier)), seconds, out);
    }
    out.push_back(metric{"all", "all", "jain_index", least_fair});
    out.push_back(metric{"all", "all", "paid_bytes",
                         static_cast<double>(result.paid_bytes)});
    out.push_back(metric{"all", "all", "duplicate_runs",
                         static_cast<double>(result.duplicate_runs)});
    return out;
}

std::optional<double> find_metric(const std::vector<metric>& all,
                                  const std::string& name,
                                  const std::string& tier,
                                  const std::string& class_name)
{
    const auto found = std::ranges::find_if(all, [&](const metric& each) {
        return each.name == name && each.tier == tier &&
               each.service_class == class_name;
    });
    if (found == all.end())
        return std::nullopt;
    return found->value;
}

} // namespace oriolefall::bench

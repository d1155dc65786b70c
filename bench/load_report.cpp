#include "bench/load_report.hpp"

#include "oriolefall/core/tier.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <ranges>

namespace oriolefall::bench {

namespace {

constexpr const char* all = "all";
constexpr double median = 0.5;
constexpr double high = 0.99;

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

double per_second(std::uint64_t count, absl::Duration length)
{
    const double seconds = absl::ToDoubleSeconds(length);
    return seconds > 0 ? static_cast<double>(count) / seconds : 0.0;
}

/// The quantile of a row's first tokens, in milliseconds; 0 for none.
double first_token_ms(const load_row& row, double quantile)
{
    if (row.first_tokens.empty())
        return 0.0;
    std::vector<absl::Duration> times = row.first_tokens;
    const auto place = static_cast<std::ptrdiff_t>(
        quantile * static_cast<double>(times.size() - 1));
    std::ranges::nth_element(times, times.begin() + place);
    return absl::ToDoubleMilliseconds(times[static_cast<std::size_t>(place)]);
}

/// Tokens computed for answers that nobody received whole.
std::uint64_t wasted_tokens(const load_row& row)
{
    if (!row.computed_tokens)
        return row.lost_tokens;
    return *row.computed_tokens -
           std::min(*row.computed_tokens, row.whole_tokens);
}

double wasted_ratio(const load_row& row)
{
    const std::uint64_t computed =
        row.computed_tokens.value_or(row.whole_tokens + row.lost_tokens);
    return ratio(wasted_tokens(row), computed);
}

void count_ending(load_row& row, load_ending ending)
{
    switch (ending) {
    case load_ending::whole:
        ++row.whole;
        break;
    case load_ending::not_run:
    case load_ending::rejected:
        ++row.refused;
        break;
    case load_ending::may_have_run:
    case load_ending::cut:
        ++row.broken;
        break;
    case load_ending::left:
        ++row.left;
        break;
    }
}

void add_sample(load_row& row, const core::service_class& promised,
                const trace_arrival& arrival, const load_outcome& outcome)
{
    ++row.offered;
    count_ending(row, outcome.ending);
    const bool is_whole = outcome.ending == load_ending::whole;
    (is_whole ? row.whole_tokens : row.lost_tokens) += outcome.tokens;
    if (outcome.first_token != absl::InfiniteDuration())
        row.first_tokens.push_back(outcome.first_token);
    const auto met =
        attainment(promised, outcome, arrival.gone_at - arrival.at);
    if (!met)
        return;
    ++row.counted;
    row.attained += *met ? 1 : 0;
    row.attained_tokens += *met ? outcome.tokens : 0;
}

/// The rows of a report while samples are added.
struct row_set
{
    std::map<core::class_name, load_row> by_class;
    std::map<core::tier, load_row> by_tier;
    load_row total{.service_class = all, .tier = all};
};

row_set empty_rows(const trace_header& header, const engine_work& work)
{
    row_set rows;
    rows.total.computed_tokens = work.tokens;
    for (const core::service_class& each : header.classes) {
        const std::string tier(core::to_string(each.tier));
        const auto priority = static_cast<std::size_t>(each.tier);
        rows.by_class[each.name] = {.service_class = each.name.value(),
                                    .tier = tier};
        load_row& row = rows.by_tier[each.tier];
        row = {.service_class = all, .tier = tier};
        if (priority < work.tokens_by_priority.size())
            row.computed_tokens = work.tokens_by_priority[priority];
    }
    return rows;
}

/// One figure of a row under its name.
struct figure
{
    const char* metric;
    const char* unit;
    std::function<double(const load_row&)> value;
};

std::vector<figure> figures(absl::Duration length)
{
    const auto count = [](std::uint64_t load_row::*member) {
        return [member](const load_row& row) {
            return static_cast<double>(row.*member);
        };
    };
    return {
        {"offered", "requests", count(&load_row::offered)},
        {"served", "requests", count(&load_row::whole)},
        {"refused", "requests", count(&load_row::refused)},
        {"broken", "requests", count(&load_row::broken)},
        {"left", "requests", count(&load_row::left)},
        {"attainment", "ratio",
         [](const load_row& row) { return ratio(row.attained, row.counted); }},
        {"goodput_requests_per_s", "1/s",
         [length](const load_row& row) {
             return per_second(row.attained, length);
         }},
        {"goodput_tokens_per_s", "1/s",
         [length](const load_row& row) {
             return per_second(row.attained_tokens, length);
         }},
        {"wasted_work_ratio", "ratio", wasted_ratio},
        {"first_token_p50", "ms",
         [](const load_row& row) { return first_token_ms(row, median); }},
        {"first_token_p99", "ms",
         [](const load_row& row) { return first_token_ms(row, high); }},
    };
}

} // namespace

std::optional<bool> attainment(const core::service_class& promised,
                               const load_outcome& outcome,
                               absl::Duration gone_after)
{
    const core::latency_target& target = promised.target;
    if (outcome.ending == load_ending::left) {
        const absl::Duration earliest = std::min(
            {target.first_token, target.whole_answer, promised.deadline});
        if (gone_after < earliest || outcome.first_token <= target.first_token)
            return std::nullopt;
        return false;
    }
    if (outcome.ending != load_ending::whole)
        return false;
    const absl::Duration streaming = outcome.whole_answer - outcome.first_token;
    const bool even = outcome.tokens < 2 ||
                      target.between_tokens == absl::InfiniteDuration() ||
                      streaming <= target.between_tokens * (outcome.tokens - 1);
    return even && outcome.first_token <= target.first_token &&
           outcome.whole_answer <= target.whole_answer &&
           outcome.whole_answer <= promised.deadline;
}

std::vector<load_row> make_load_rows(const trace& replayed,
                                     const std::vector<load_sample>& samples,
                                     const engine_work& work)
{
    row_set rows = empty_rows(replayed.header, work);
    for (const load_sample& sample : samples) {
        const trace_arrival& arrival = replayed.arrivals.at(sample.arrival);
        const auto promised =
            std::ranges::find(replayed.header.classes, arrival.service_class,
                              &core::service_class::name);
        for (load_row* row : {&rows.by_class.at(promised->name),
                              &rows.by_tier.at(promised->tier), &rows.total})
            add_sample(*row, *promised, arrival, sample.outcome);
    }
    std::vector<load_row> listed;
    std::ranges::copy(rows.by_class | std::views::values,
                      std::back_inserter(listed));
    std::ranges::copy(rows.by_tier | std::views::values,
                      std::back_inserter(listed));
    listed.push_back(rows.total);
    return listed;
}

void print_table(std::ostream& out, const std::vector<load_row>& rows,
                 absl::Duration length)
{
    constexpr int name_width = 22;
    constexpr int number_width = 11;
    out << std::left << std::setw(name_width) << "class"
        << std::setw(name_width) << "tier" << std::right;
    for (const char* head :
         {"offered", "served", "refused", "broken", "left", "attain", "good/s",
          "tokens/s", "wasted", "ttft p50", "ttft p99"})
        out << std::setw(number_width) << head;
    out << '\n' << std::fixed;
    for (const load_row& row : rows) {
        out << std::left << std::setw(name_width) << row.service_class
            << std::setw(name_width) << row.tier << std::right;
        for (const figure& each : figures(length)) {
            const double value = each.value(row);
            const int digits = value == std::floor(value) ? 0 : 3;
            out << std::setw(number_width) << std::setprecision(digits)
                << value;
        }
        out << '\n';
    }
}

void print_lines(std::ostream& out, const std::vector<load_row>& rows,
                 absl::Duration length)
{
    for (const load_row& row : rows) {
        for (const figure& each : figures(length))
            out << nlohmann::json{{"bench", "load"},
                                  {"class", row.service_class},
                                  {"tier", row.tier},
                                  {"metric", each.metric},
                                  {"value", each.value(row)},
                                  {"unit", each.unit}}
                << '\n';
    }
}

} // namespace oriolefall::bench

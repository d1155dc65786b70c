#include "oriolefall/observe/explanation_log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace oriolefall::observe {

namespace {

using nlohmann::json;

/// Decision steps beyond this number are not retained.
constexpr std::size_t max_steps_per_request = 64;

json to_json(const decision_step& step)
{
    json line{{"at_ms", absl::ToDoubleMilliseconds(step.since_start)},
              {"step", decision::to_string(step.step.kind)}};
    if (!step.step.server.value().empty())
        line["backend_server"] = step.step.server.value();
    if (decision::has_cause(step.step.kind))
        line["reason"] = core::to_string(step.step.cause);
    if (step.step.kind == decision::step_kind::placed)
        line["score"] = step.step.score;
    return line;
}

} // namespace

explanation_log::explanation_log(std::size_t capacity) : capacity_(capacity) {}

void explanation_log::add(const decision_step& step)
{
    std::vector<decision_step>& steps = entry_of(step.step.request).steps;
    if (steps.size() < max_steps_per_request)
        steps.push_back(step);
}

void explanation_log::add(const request_finished& end)
{
    entry_of(end.request).end = end;
}

explanation_log::entry& explanation_log::entry_of(core::request_id request)
{
    const auto [found, is_new] = entries_.try_emplace(request);
    if (!is_new)
        return found->second;
    insertion_order_.push_back(request);
    if (insertion_order_.size() > capacity_) {
        entries_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
    return entries_.at(request);
}

std::string explanation_log::explain(core::request_id request) const
{
    const auto found = entries_.find(request);
    if (found == entries_.end())
        return {};
    json text{{"request", request.value()}, {"steps", json::array()}};
    std::ranges::transform(found->second.steps,
                           std::back_inserter(text["steps"]), to_json);
    if (const auto& end = found->second.end) {
        text["class"] = end->service_class.value();
        text["workspace"] = end->workspace.value();
        text["tier"] = core::to_string(end->tier);
        text["verdict"] = core::to_string(end->verdict);
        text["backend_server"] = end->server.value();
        text["tokens"] = end->tokens;
        text["attained"] = end->attained;
    }
    return text.dump();
}

} // namespace oriolefall::observe

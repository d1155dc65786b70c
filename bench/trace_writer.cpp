#include "bench/trace_writer.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <ostream>
#include <string_view>

namespace oriolefall::bench {

namespace {

using json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 10> fault_names{
    "straggler",      "crash",          "silent",   "lying_load",
    "lagging_load",   "other_load",     "refusing", "region_cut",
    "server_leaving", "server_arriving"};

json milliseconds(absl::Duration time)
{
    const double value = absl::ToDoubleMicroseconds(time) / 1e3;
    const auto whole = static_cast<std::int64_t>(std::llround(value));
    if (static_cast<double>(whole) == value)
        return whole;
    return value;
}

void put_finite(json& object, const char* name, absl::Duration time)
{
    if (time < absl::InfiniteDuration())
        object[name] = milliseconds(time);
}

std::string_view name_of(core::call_kind kind)
{
    return kind == core::call_kind::service ? "service" : "generate";
}

json to_json(const core::service_class& rules)
{
    json object{{"name", rules.name.value()},
                {"tier", core::to_string(rules.tier)},
                {"calls", name_of(rules.kind)},
                {"idempotent", rules.idempotent}};
    put_finite(object, "first_token_ms", rules.target.first_token);
    put_finite(object, "between_tokens_ms", rules.target.between_tokens);
    put_finite(object, "whole_answer_ms", rules.target.whole_answer);
    object["deadline_ms"] = milliseconds(rules.deadline);
    object["minimum_share"] = rules.minimum_share;
    object["max_attempts"] = rules.max_attempts;
    return object;
}

json to_json(const trace_server& held)
{
    const core::backend_server& server = held.server;
    const server_speed& speed = held.speed;
    return json{{"id", server.id.value()},
                {"region", server.location.region.value()},
                {"failure_domain", server.location.failure_domain.value()},
                {"calls", name_of(server.kind)},
                {"serves", server.serves},
                {"slots", server.slots},
                {"resumes_streams", server.resumes_streams},
                {"speed",
                 {{"prefill_tokens_per_s", speed.prefill_tokens_per_s},
                  {"step_ms", milliseconds(speed.step)},
                  {"step_ms_per_stream", milliseconds(speed.step_per_stream)},
                  {"queue_limit", speed.queue_limit},
                  {"cached_prefixes", speed.cached_prefixes},
                  {"service_ms", milliseconds(speed.service_time)}}}};
}

json to_json(const trace_header& header)
{
    json object{{"kind", "header"},
                {"name", header.name},
                {"region", header.location.region.value()},
                {"failure_domain", header.location.failure_domain.value()},
                {"domain_delay_ms", milliseconds(header.domain_delay)},
                {"region_delay_ms", milliseconds(header.region_delay)},
                {"report_interval_ms", milliseconds(header.report_interval)}};
    for (const core::service_class& each : header.classes)
        object["classes"].push_back(to_json(each));
    for (const core::workspace_id& each : header.workspaces)
        object["workspaces"].push_back(each.value());
    for (const trace_server& each : header.servers)
        object["servers"].push_back(to_json(each));
    return object;
}

json to_json(const trace_arrival& arrival)
{
    json object{{"kind", "arrival"},
                {"at_ms", milliseconds(arrival.at)},
                {"class", arrival.service_class.value()},
                {"workspace", arrival.workspace.value()}};
    if (!arrival.model.value().empty())
        object["model"] = arrival.model.value();
    if (arrival.key)
        object["key"] = arrival.key->value();
    const auto put_count = [&](const char* name, std::uint32_t value) {
        if (value != 0)
            object[name] = value;
    };
    put_count("prompt_tokens", arrival.prompt_tokens);
    put_count("output_tokens", arrival.output_tokens);
    put_count("max_tokens", arrival.max_tokens);
    if (!arrival.prefix.empty())
        object["prefix"] = arrival.prefix;
    put_count("prefix_tokens", arrival.prefix_tokens);
    if (arrival.body_bytes != 4 * arrival.prompt_tokens)
        object["body_bytes"] = arrival.body_bytes;
    put_finite(object, "gone_at_ms", arrival.gone_at);
    return object;
}

json to_json(const trace_fault& fault)
{
    json object{{"kind", "fault"}, {"at_ms", milliseconds(fault.at)}};
    put_finite(object, "until_ms", fault.until);
    object["fault"] = fault_names[static_cast<std::size_t>(fault.kind)];
    if (fault.arriving)
        object["server"] = to_json(*fault.arriving);
    else if (fault.kind == fault_kind::region_cut)
        object["region"] = fault.region.value();
    else
        object["server"] = fault.server.value();
    if (fault.kind == fault_kind::straggler)
        object["factor"] = fault.factor;
    if (fault.kind == fault_kind::lying_load ||
        fault.kind == fault_kind::other_load)
        object["running"] = fault.running;
    if (fault.kind == fault_kind::lagging_load)
        object["lag_ms"] = milliseconds(fault.lag);
    return object;
}

} // namespace

void print_trace(std::ostream& out, const trace& printed)
{
    out << to_json(printed.header) << '\n';
    for (const trace_fault& each : printed.faults)
        out << to_json(each) << '\n';
    for (const trace_arrival& each : printed.arrivals)
        out << to_json(each) << '\n';
}

} // namespace oriolefall::bench

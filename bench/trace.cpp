#include "bench/trace.hpp"

#include "bench/trace_fields.hpp"

#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <istream>
#include <utility>

namespace oriolefall::bench {

namespace {

using nlohmann::json;

struct fault_name
{
    std::string_view name;
    fault_kind kind;
};

constexpr std::array<fault_name, 10> fault_names{
    {{"straggler", fault_kind::straggler},
     {"crash", fault_kind::crash},
     {"silent", fault_kind::silent},
     {"lying_load", fault_kind::lying_load},
     {"lagging_load", fault_kind::lagging_load},
     {"other_load", fault_kind::other_load},
     {"refusing", fault_kind::refusing},
     {"region_cut", fault_kind::region_cut},
     {"server_leaving", fault_kind::server_leaving},
     {"server_arriving", fault_kind::server_arriving}}};

/// Builds a trace line by line and keeps the first fault.
class trace_reader
{
public:
    /// Takes one line; a message when it is bad.
    std::string take(const std::string& line);
    [[nodiscard]] trace finish();
    [[nodiscard]] bool has_header() const
    {
        return has_header_;
    }

private:
    std::string take_header(const json& object);
    std::string take_arrival(const json& object);
    std::string take_fault(const json& object);
    core::service_class parse_class(const json& object, trace_fields& owner);
    trace_server parse_server(const json& object, trace_fields& owner);
    static server_speed parse_speed(const json& object, trace_fields& owner);
    void parse_fault_target(trace_fields& fields, trace_fault& fault);

    trace trace_;
    bool has_header_ = false;
    absl::flat_hash_set<std::string> classes_;
    absl::flat_hash_set<std::string> workspaces_;
    absl::flat_hash_set<std::string> servers_;
};

void merge_error(trace_fields& inner, trace_fields& owner)
{
    const std::string error = inner.error();
    if (!error.empty())
        owner.fail(error);
}

std::string trace_reader::take(const std::string& line)
{
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object())
        return "not a JSON object";
    const json kind = object.value("kind", json());
    if (!has_header_ && kind != "header")
        return "the first line must be of kind \"header\"";
    if (kind == "header")
        return has_header_ ? "a second header" : take_header(object);
    if (kind == "arrival")
        return take_arrival(object);
    if (kind == "fault")
        return take_fault(object);
    return R"("kind" must be "header", "arrival" or "fault")";
}

core::service_class trace_reader::parse_class(const json& object,
                                              trace_fields& owner)
{
    trace_fields fields(object, "class");
    core::service_class parsed;
    parsed.name = core::class_name(fields.text("name"));
    const auto tier = core::parse_tier(fields.text("tier"));
    if (!tier)
        fields.fail(R"("tier" must be "interactive", "standard" or "batch")");
    parsed.tier = tier.value_or(core::tier::standard);
    const std::string calls = fields.text_or("calls", "generate");
    if (calls != "generate" && calls != "service")
        fields.fail(R"("calls" must be "generate" or "service")");
    parsed.kind = calls == "service" ? core::call_kind::service
                                     : core::call_kind::generate;
    parsed.idempotent = fields.flag_or("idempotent", true);
    constexpr auto never = absl::InfiniteDuration();
    parsed.target.first_token = fields.milliseconds_or("first_token_ms", never);
    parsed.target.between_tokens =
        fields.milliseconds_or("between_tokens_ms", never);
    parsed.target.whole_answer =
        fields.milliseconds_or("whole_answer_ms", never);
    parsed.deadline = fields.milliseconds("deadline_ms");
    parsed.minimum_share =
        fields.number_or("minimum_share", parsed.minimum_share, 0.0, 1.0);
    parsed.max_attempts = fields.count_or("max_attempts", parsed.max_attempts);
    if (!classes_.insert(parsed.name.value()).second)
        fields.fail("\"name\" stands twice");
    merge_error(fields, owner);
    return parsed;
}

server_speed trace_reader::parse_speed(const json& object, trace_fields& owner)
{
    trace_fields fields(object, "speed");
    server_speed speed;
    speed.prefill_tokens_per_s = fields.number_or(
        "prefill_tokens_per_s", speed.prefill_tokens_per_s, 1.0, 1e9);
    speed.step = fields.milliseconds_or("step_ms", speed.step);
    speed.step_per_stream =
        fields.milliseconds_or("step_ms_per_stream", speed.step_per_stream);
    speed.queue_limit = fields.count_or("queue_limit", speed.queue_limit);
    speed.cached_prefixes =
        fields.count_or("cached_prefixes", speed.cached_prefixes);
    speed.service_time =
        fields.milliseconds_or("service_ms", speed.service_time);
    merge_error(fields, owner);
    return speed;
}

trace_server trace_reader::parse_server(const json& object, trace_fields& owner)
{
    trace_fields fields(object, "server");
    trace_server parsed;
    core::backend_server& server = parsed.server;
    server.id = core::backend_server_id(fields.text("id"));
    server.location.region = core::region_name(fields.text("region"));
    server.location.failure_domain =
        core::failure_domain_name(fields.text("failure_domain"));
    const std::string calls = fields.text_or("calls", "generate");
    server.kind = calls == "service" ? core::call_kind::service
                                     : core::call_kind::generate;
    server.serves = fields.texts("serves");
    server.slots = fields.count_or("slots", server.slots);
    server.resumes_streams = fields.flag_or("resumes_streams", false);
    parsed.speed = parse_speed(fields.object_or_empty("speed"), fields);
    if (server.slots == 0)
        fields.fail("\"slots\" must be 1 or more");
    if (!servers_.insert(server.id.value()).second)
        fields.fail("\"id\" stands twice");
    merge_error(fields, owner);
    return parsed;
}

std::string trace_reader::take_header(const json& object)
{
    trace_fields fields(object, "header");
    trace_header& header = trace_.header;
    static_cast<void>(fields.text("kind"));
    header.name = fields.text("name");
    header.location.region = core::region_name(fields.text("region"));
    header.location.failure_domain =
        core::failure_domain_name(fields.text("failure_domain"));
    header.domain_delay =
        fields.milliseconds_or("domain_delay_ms", header.domain_delay);
    header.region_delay =
        fields.milliseconds_or("region_delay_ms", header.region_delay);
    header.report_interval =
        fields.milliseconds_or("report_interval_ms", header.report_interval);
    if (header.report_interval < absl::Milliseconds(1))
        fields.fail("\"report_interval_ms\" must be 1 or more");
    for (const json& entry : fields.list("classes"))
        header.classes.push_back(parse_class(entry, fields));
    for (const std::string& name : fields.texts("workspaces")) {
        header.workspaces.emplace_back(name);
        workspaces_.insert(name);
    }
    for (const json& entry : fields.list("servers"))
        header.servers.push_back(parse_server(entry, fields));
    has_header_ = true;
    return fields.error();
}

std::string trace_reader::take_arrival(const json& object)
{
    trace_fields fields(object, "arrival");
    trace_arrival arrival;
    static_cast<void>(fields.text("kind"));
    arrival.at = fields.milliseconds("at_ms");
    arrival.service_class = core::class_name(fields.text("class"));
    arrival.workspace = core::workspace_id(fields.text("workspace"));
    arrival.model = core::model_name(fields.text_or("model", ""));
    if (fields.has("key"))
        arrival.key = core::idempotency_key(fields.text("key"));
    else
        static_cast<void>(fields.text_or("key", ""));
    arrival.prompt_tokens = fields.count_or("prompt_tokens", 0);
    arrival.output_tokens = fields.count_or("output_tokens", 0);
    arrival.max_tokens = fields.count_or("max_tokens", 0);
    arrival.prefix = fields.text_or("prefix", "");
    arrival.prefix_tokens = fields.count_or("prefix_tokens", 0);
    arrival.body_bytes =
        fields.count_or("body_bytes", 4 * arrival.prompt_tokens);
    arrival.gone_at =
        fields.milliseconds_or("gone_at_ms", absl::InfiniteDuration());
    if (!classes_.contains(arrival.service_class.value()))
        fields.fail("\"class\" is not in the header");
    if (!workspaces_.contains(arrival.workspace.value()))
        fields.fail("\"workspace\" is not in the header");
    if (arrival.gone_at < arrival.at)
        fields.fail("\"gone_at_ms\" is before \"at_ms\"");
    if (arrival.prefix_tokens > arrival.prompt_tokens)
        fields.fail("\"prefix_tokens\" is more than \"prompt_tokens\"");
    trace_.arrivals.push_back(std::move(arrival));
    return fields.error();
}

void trace_reader::parse_fault_target(trace_fields& fields, trace_fault& fault)
{
    if (fault.kind == fault_kind::server_arriving) {
        const json server = fields.object_or_empty("server");
        fault.arriving = parse_server(server, fields);
        fault.server = fault.arriving->server.id;
        return;
    }
    if (fault.kind == fault_kind::region_cut) {
        fault.region = core::region_name(fields.text("region"));
        return;
    }
    fault.server = core::backend_server_id(fields.text("server"));
    if (!servers_.contains(fault.server.value()))
        fields.fail("\"server\" is not known at this line");
}

std::string trace_reader::take_fault(const json& object)
{
    trace_fields fields(object, "fault");
    trace_fault fault;
    static_cast<void>(fields.text("kind"));
    fault.at = fields.milliseconds("at_ms");
    fault.until = fields.milliseconds_or("until_ms", absl::InfiniteDuration());
    const std::string name = fields.text("fault");
    const auto* const known =
        std::ranges::find(fault_names, name, &fault_name::name);
    if (known == fault_names.end())
        return "fault: \"" + name + "\" is not a known fault";
    fault.kind = known->kind;
    if (fault.kind == fault_kind::straggler)
        fault.factor = fields.number("factor", 1.0, 1e6);
    if (fault.kind == fault_kind::lying_load ||
        fault.kind == fault_kind::other_load)
        fault.running = fields.count("running");
    if (fault.kind == fault_kind::lagging_load)
        fault.lag = fields.milliseconds("lag_ms");
    parse_fault_target(fields, fault);
    if (fault.until < fault.at)
        fields.fail("\"until_ms\" is before \"at_ms\"");
    trace_.faults.push_back(std::move(fault));
    return fields.error();
}

trace trace_reader::finish()
{
    std::ranges::stable_sort(trace_.arrivals, {}, &trace_arrival::at);
    std::ranges::stable_sort(trace_.faults, {}, &trace_fault::at);
    return std::move(trace_);
}

} // namespace

std::variant<trace, trace_error> parse_trace(std::istream& in)
{
    trace_reader reader;
    std::string line;
    std::size_t number = 0;
    while (std::getline(in, line)) {
        ++number;
        if (line.empty())
            continue;
        const std::string message = reader.take(line);
        if (!message.empty())
            return trace_error{number, message};
    }
    if (!reader.has_header())
        return trace_error{number, "no header"};
    return reader.finish();
}

std::variant<trace, trace_error> load_trace(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return trace_error{0, "cannot read " + path};
    return parse_trace(in);
}

std::uint64_t prefix_hash(const std::string& prefix)
{
    return prefix.empty() ? 0 : XXH3_64bits(prefix.data(), prefix.size());
}

core::request to_request(const trace_arrival& arrival, core::request_id id)
{
    return core::request{.id = id,
                         .workspace = arrival.workspace,
                         .service_class = arrival.service_class,
                         .model = arrival.model,
                         .key = arrival.key,
                         .prompt_tokens = arrival.prompt_tokens,
                         .max_tokens = arrival.max_tokens,
                         .body_bytes = arrival.body_bytes,
                         .prefix_hash = prefix_hash(arrival.prefix)};
}

} // namespace oriolefall::bench

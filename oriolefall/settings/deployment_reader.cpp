#include "oriolefall/settings/deployment_reader.hpp"

#include "oriolefall/core/tier.hpp"

#include <array>

namespace oriolefall::settings::detail {

namespace {

constexpr std::array<std::string_view, 2> kind_names{"generate", "service"};
constexpr std::array<core::call_kind, 2> kinds{core::call_kind::generate,
                                               core::call_kind::service};
constexpr range<absl::Duration> target_range{absl::Milliseconds(1),
                                             absl::Hours(1)};
constexpr range<absl::Duration> deadline_range{absl::Milliseconds(10),
                                               absl::Hours(24)};

std::array<std::string_view, core::tier_count> tier_names()
{
    std::array<std::string_view, core::tier_count> names;
    std::ranges::transform(core::all_tiers, names.begin(),
                           [](core::tier tier) { return to_string(tier); });
    return names;
}

void read_region(object_reader& reader, region& result)
{
    reader.read({"name", "Name of the region.", true}, result.name);
    reader.read({"failure_domains",
                 "Parts of the region that fail on their own.", true},
                result.failure_domains);
}

void read_team(object_reader& reader, team& result)
{
    reader.read({"name", "Name of the team and of its subtree.", true},
                result.name);
}

void read_model(object_reader& reader, model& result)
{
    reader.read({"name", "Name that callers ask for.", true}, result.name);
}

void read_target(object_reader& reader, core::latency_target& result)
{
    reader.read({"first_token", "Arrival to first token."}, result.first_token,
                target_range);
    reader.read({"between_tokens", "One token to the next."},
                result.between_tokens, target_range);
    reader.read({"whole_answer", "Arrival to the end of the answer."},
                result.whole_answer, target_range);
}

void read_class(object_reader& reader, core::service_class& result)
{
    const auto names = tier_names();
    reader.read({"name", "Name that callers give.", true}, result.name);
    reader.read<core::tier>(
        {"tier", "Service level; the first goes first.", true}, result.tier,
        names, core::all_tiers);
    reader.read<core::call_kind>(
        {"kind", "What answers it: a model engine or a plain service."},
        result.kind, kind_names, kinds);
    reader.read({"idempotent", "False: a request runs at most once and "
                               "carries an idempotency key."},
                result.idempotent);
    reader.read_object(
        {"target", "Latency promised to callers."},
        [&](object_reader& inner) { read_target(inner, result.target); });
    reader.read({"deadline", "Longest time from arrival to the end of the "
                             "answer."},
                result.deadline, deadline_range);
    reader.read({"minimum_share", "Share of capacity kept for the class."},
                result.minimum_share, {0.0, 1.0});
    reader.read({"max_attempts", "Calls made for one request at most."},
                result.max_attempts, {1U, 10U});
}

void read_workspace(object_reader& reader, workspace& result)
{
    reader.read({"name", "Name that callers give.", true}, result.name);
    reader.read({"team", "Team that it belongs to.", true}, result.team);
    reader.read({"weight", "Share relative to the other workspaces."},
                result.weight, {0.001, 1000.0});
}

void read_location(object_reader& reader, core::location& result)
{
    reader.read({"region", "Region that it stands in.", true}, result.region);
    reader.read({"failure_domain", "Failure domain of that region.", true},
                result.failure_domain);
}

void read_server(object_reader& reader, core::backend_server& result)
{
    reader.read({"id", "Name of the backend server.", true}, result.id);
    reader.read({"endpoint", "Where it listens.", true}, result.endpoint);
    reader.read_object(
        {"location", "Where it stands.", true},
        [&](object_reader& inner) { read_location(inner, result.location); });
    reader.read<core::call_kind>(
        {"kind", "A model engine (generate) or a plain service."}, result.kind,
        kind_names, kinds);
    reader.read_names(
        {"serves", "Models of an engine, classes of a service.", true},
        result.serves);
    reader.read({"slots", "Calls that it runs at once."}, result.slots,
                {1U, 65536U});
    reader.read({"checks_fencing",
                 "True: it refuses an order with an old fencing number."},
                result.checks_fencing);
    reader.read(
        {"resumes_streams", "True: it continues a broken stream from a token."},
        result.resumes_streams);
    reader.read({"leaving", "True: it gets no new work."}, result.leaving);
}

} // namespace

void read_deployment(object_reader& reader, deployment& result)
{
    reader.read_list({"regions", "Regions of the fleet."}, result.regions,
                     read_region);
    reader.read_list({"teams", "Teams that change settings."}, result.teams,
                     read_team);
    reader.read_list({"models", "Models that engines may load."}, result.models,
                     read_model);
    reader.read_list({"classes", "Classes of requests."}, result.classes,
                     read_class);
    reader.read_list({"workspaces", "Groups of callers."}, result.workspaces,
                     read_workspace);
    reader.read_list(
        {"backend_servers", "Model engines and plain services routed to."},
        result.backend_servers, read_server);
}

std::variant<deployment, errors> parse_deployment(const nlohmann::json& parsed)
{
    reader_context context;
    deployment value;
    object_reader reader(parsed, "", context);
    read_deployment(reader, value);
    reader.report_unknown_keys();
    check_deployment(value, context.faults);
    if (!context.faults.empty())
        return context.faults;
    return value;
}

} // namespace oriolefall::settings::detail

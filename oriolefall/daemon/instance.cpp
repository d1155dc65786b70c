#include "oriolefall/daemon/instance.hpp"

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace oriolefall::daemon {

namespace {

decision::routing_table_ptr make_initial_table(const instance_options& options)
{
    if (!options.deployment)
        return std::make_shared<const decision::routing_table>();
    return std::make_shared<const decision::routing_table>(
        settings::make_routing_table(*options.deployment, 0));
}

decider_thread_settings decider_settings(const instance_options& options)
{
    return {.decider = {.location = options.settings.location,
                        .seed = options.settings.decider_seed}};
}

front::front_settings
front_settings(const settings::instance_settings& settings)
{
    return {.listen = settings.listen,
            .max_connections = settings.front.max_connections,
            .max_header_bytes = settings.front.max_header_bytes,
            .max_body_bytes = settings.front.max_body_bytes,
            .answer_ring_capacity = settings.front.answer_ring_capacity,
            .caller_check_interval = settings.front.caller_check_interval};
}

backend::call_worker_settings
call_worker_settings(const settings::instance_settings& settings)
{
    return {.worker_count = settings.backend_lanes,
            .max_queued_calls = settings.backend_lanes};
}

/// Number of workers that claim idempotency keys on the platform.
constexpr std::size_t claim_worker_count = 4;

/// The start time in milliseconds, which grows with each start of an instance.
std::uint64_t make_incarnation()
{
    return static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
}

nlohmann::json to_json(const membership::member& member)
{
    return {{"instance", member.id.value()},
            {"state", membership::to_string(member.state)},
            {"region", member.location.region.value()},
            {"failure_domain", member.location.failure_domain.value()},
            {"address", member.caller_endpoint.address},
            {"port", member.caller_endpoint.port}};
}

} // namespace

instance::instance(const instance_options& options)
    : options_(options), incarnation_(make_incarnation()),
      table_(make_initial_table(options)),
      recorder_(observe::recorder_settings{}),
      decider_(decider_settings(options), table_.get())
{
}

instance::~instance()
{
    if (front_server_)
        front_server_->stop();
    // Each duty stops before the duties that it sends to or queries. A stopped
    // duty stays in memory while others may still send to it.
    if (moves_)
        moves_->stop();
    fleet_.reset();
    decider_.stop();
    claims_.reset();
    call_workers_.reset();
}

bool instance::start()
{
    call_workers_ = std::make_unique<backend::call_worker_pool>(
        call_worker_settings(options_.settings), make_call_hooks());
    const record_sink sink = [this](observe::record record) {
        recorder_.report(std::move(record));
    };
    std::optional<platform_access> access;
    if (const auto& platform = options_.settings.platform)
        access = platform_access{*platform, options_.settings.instance,
                                 incarnation_, sink};
    if (access)
        claims_ = std::make_unique<claim_duty>(
            *access, claim_worker_count,
            [this](const decision::key_claimed& claimed) {
                decider_.post(claimed);
            });
    fleet_ = std::make_unique<fleet_duties>(
        options_.settings, incarnation_, access, sink,
        [this](const objects::settings_in_force& next) { apply(next); });
    if (access)
        moves_ = std::make_unique<move_duties>(
            *access, [this] { return fleet_->members(); });
    decider_.start(make_action_hooks());
    front_server_ = std::make_unique<front::server>(
        front_settings(options_.settings), make_handlers());
    return front_server_->start() &&
           fleet_->start({options_.settings.listen.address, port()});
}

void instance::apply(const objects::settings_in_force& next)
{
    table_.set(next.table);
    decider_.post(decision::table_applied{next.table});
    if (moves_)
        moves_->apply({next.moves, next.table});
}

void instance::report(observe::record record)
{
    const auto* end = std::get_if<observe::request_finished>(&record);
    if (end != nullptr && moves_)
        moves_->record(*end);
    recorder_.report(std::move(record));
}

std::uint16_t instance::port() const
{
    return front_server_->port();
}

void instance::leave()
{
    is_leaving_ = true;
    fleet_->leave();
}

void instance::refuse_new_requests()
{
    decider_.post(decision::shutdown_requested{});
}

std::size_t instance::open_requests() const
{
    return decider_.open_requests();
}

void instance::log(observe::log_level level, std::string message)
{
    recorder_.report(observe::log_entry{level, "instance", std::move(message)});
}

front::handlers instance::make_handlers()
{
    return {
        .next_request_id = [this] { return request_ids_.next(); },
        .submit =
            [this](front::submission submission) {
                return decider_.submit(std::move(submission));
            },
        .on_caller_gone =
            [this](core::request_id id) {
                decider_.post(decision::caller_gone{id});
            },
        .find_class =
            [this](const core::class_name& name) { return find_class(name); },
        .models = [this] { return models(); },
        .find_entry =
            [this](const core::workspace_id& id) { return entry(id); },
        .count_refusal =
            [this](core::reason cause) {
                recorder_.report(observe::early_refusal{cause});
            },
        .metrics = [this] { return recorder_.metrics(); },
        .is_ready = [this] { return !is_leaving_; },
        .explain =
            [this](core::request_id id) { return recorder_.explain(id); },
        .status = [this] { return status(); }};
}

action_hooks instance::make_action_hooks()
{
    return {
        .start_call =
            [this](backend::call_task order) {
                return call_workers_->try_start(std::move(order));
            },
        .cancel_call = [this](core::call_id id) { call_workers_->cancel(id); },
        .claim_key =
            [this](const decision::claim_key& claim) {
                return claims_ && claims_->submit(claim);
            },
        .record_outcome =
            [this](const decision::record_outcome& outcome) {
                if (claims_ && !claims_->submit(outcome))
                    recorder_.report(observe::counter_added{
                        "claim_outcomes_total", "result", "no_room"});
            },
        .report =
            [this](observe::record record) { report(std::move(record)); }};
}

backend::call_hooks instance::make_call_hooks()
{
    return {.on_progress =
                [this](const decision::call_progressed& event) {
                    decider_.try_post(event);
                },
            .on_load_report =
                [this](const decision::load_reported& event) {
                    decider_.try_post(event);
                }};
}

std::vector<core::model_name> instance::models() const
{
    const auto table = table_.get();
    std::vector<core::model_name> names;
    for (const core::backend_server& server : table->servers) {
        if (server.kind != core::call_kind::generate)
            continue;
        std::ranges::transform(
            server.serves, std::back_inserter(names),
            [](const std::string& name) { return core::model_name(name); });
    }
    std::ranges::sort(names);
    const auto duplicates = std::ranges::unique(names);
    names.erase(duplicates.begin(), duplicates.end());
    return names;
}

std::optional<core::service_class>
instance::find_class(const core::class_name& name) const
{
    const auto table = table_.get();
    const auto found =
        std::ranges::find(table->classes, name, &core::service_class::name);
    if (found == table->classes.end())
        return std::nullopt;
    return *found;
}

front::entry_answer instance::entry(const core::workspace_id& workspace) const
{
    const membership::entry_choice choice = fleet_->entry(workspace);
    front::entry_answer answer;
    answer.lifetime = choice.lifetime;
    std::ranges::transform(choice.members, std::back_inserter(answer.endpoints),
                           &membership::member::caller_endpoint);
    return answer;
}

std::string instance::status() const
{
    const auto table = table_.get();
    nlohmann::json status{
        {"instance", options_.settings.instance.value()},
        {"region", options_.settings.location.region.value()},
        {"failure_domain", options_.settings.location.failure_domain.value()},
        {"state", is_leaving_ ? "leaving" : "live"},
        {"settings_version", table->version},
        {"backend_servers", table->servers.size()},
        {"open_requests", open_requests()},
        {"members", nlohmann::json::array()},
        {"settings", nlohmann::json::object()}};
    const auto members = fleet_->members();
    std::ranges::transform(*members, std::back_inserter(status["members"]),
                           to_json);
    const auto in_force = fleet_->settings_in_force();
    for (const settings::team_version& team : in_force->teams)
        status["settings"][team.team.value()] = team.version;
    return status.dump();
}

} // namespace oriolefall::daemon

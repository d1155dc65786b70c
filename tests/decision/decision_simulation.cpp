#include "decision_simulation.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <rapidcheck.h>
#include <variant>

namespace oriolefall::tests {

namespace {

constexpr std::size_t choice_kinds = 16;

core::service_class make_class(const std::string& name, core::tier tier)
{
    core::service_class created;
    created.name = core::class_name(name);
    created.tier = tier;
    created.target.first_token = absl::Seconds(2);
    created.deadline = absl::Seconds(20);
    created.minimum_share = 0.05;
    return created;
}

core::backend_server make_server(const std::string& id,
                                 const std::string& region,
                                 std::vector<std::string> serves)
{
    core::backend_server created;
    created.id = core::backend_server_id(id);
    created.location.region = core::region_name(region);
    created.serves = std::move(serves);
    created.slots = 2;
    created.resumes_streams = id != "e2";
    return created;
}

decision::routing_table make_table()
{
    decision::routing_table table;
    table.version = 1;
    table.classes = {make_class("quick", core::tier::interactive),
                     make_class("helpful", core::tier::standard),
                     make_class("patient", core::tier::batch),
                     make_class("once", core::tier::standard)};
    core::service_class& once = table.classes.back();
    once.kind = core::call_kind::service;
    once.idempotent = false;
    table.servers = {make_server("e1", "near", {"small"}),
                     make_server("e2", "near", {"small", "large"}),
                     make_server("e3", "near", {"large"}),
                     make_server("e4", "away", {"small", "large"}),
                     make_server("s1", "near", {"once"}),
                     make_server("s2", "away", {"once"})};
    for (core::backend_server& server : table.servers)
        if (server.serves.front() == "once")
            server.kind = core::call_kind::service;
    return table;
}

decision::decider_settings make_settings()
{
    decision::decider_settings settings;
    settings.location.region = core::region_name("near");
    settings.seed = 7;
    settings.queue.max_requests = 12;
    return settings;
}

bool serves(const core::backend_server& server, const core::request& request)
{
    const std::string& wanted = request.model.value().empty()
                                    ? request.service_class.value()
                                    : request.model.value();
    return std::ranges::find(server.serves, wanted) != server.serves.end();
}

} // namespace

decision_simulation::decision_simulation()
    : settings_(make_settings()), decider_(settings_), table_(make_table())
{
    step(decision::table_applied{
        std::make_shared<const decision::routing_table>(table_)});
}

void decision_simulation::expect(bool holds, const std::string& rule) const
{
    if (!holds)
        RC_FAIL(rule);
}

void decision_simulation::apply_choice(std::uint32_t choice)
{
    const std::uint32_t detail = choice / choice_kinds;
    constexpr std::array<const char*, 6> class_names{
        "quick", "helpful", "patient", "once", "quick", "patient"};
    switch (choice % choice_kinds) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        arrive(class_names[detail % class_names.size()], detail / 8 % 3);
        break;
    case 5:
    case 6:
        progress_call(detail);
        break;
    case 7:
    case 8:
    case 9:
        end_call(detail);
        break;
    case 10:
        disconnect_caller(detail);
        break;
    case 11:
        answer_claim(detail);
        break;
    case 12:
        change_table(detail);
        break;
    case 13:
        report_load(detail);
        break;
    default:
        advance(absl::Milliseconds(1 + detail % 400));
        break;
    }
}

void decision_simulation::step(const decision::event& event)
{
    events_.emplace_back(now_, event);
    std::vector<decision::action> out;
    decider_.step(now_, event, out);
    for (const decision::action& each : out)
        std::visit([this](const auto& some) { on(some); }, each);
    std::ranges::move(out, std::back_inserter(actions_));
}

decision_simulation::request_model&
decision_simulation::model_of(core::request_id id)
{
    const auto found = requests_.find(id.value());
    expect(found != requests_.end(), "an action refers to a known request");
    return found->second;
}

void decision_simulation::arrive(const std::string& class_name,
                                 std::uint32_t workspace)
{
    const std::uint64_t id = next_request_++;
    request_model model;
    model.request.id = core::request_id(id);
    model.request.workspace =
        core::workspace_id("w" + std::to_string(workspace));
    model.request.service_class = core::class_name(class_name);
    model.request.prompt_tokens = 100;
    model.service_class =
        &*std::ranges::find(table_.classes, model.request.service_class,
                            &core::service_class::name);
    if (class_name == "once")
        model.request.key = core::idempotency_key("k" + std::to_string(id));
    else
        model.request.model = core::model_name(id % 2 == 0 ? "small" : "large");
    requests_.emplace(id, model);
    step(decision::request_arrived{model.request});
    const request_model& after = requests_.at(id);
    expect(!is_shut_down_ || after.is_finished,
           "no request is taken after shutdown");
}

void decision_simulation::advance(absl::Duration time)
{
    const absl::Time until = now_ + time;
    while (decider_.next_tick() <= until) {
        now_ = std::max(now_, decider_.next_tick());
        step(decision::tick{});
    }
    now_ = until;
}

std::uint64_t decision_simulation::pick_call(std::uint32_t choice) const
{
    return std::next(calls_.begin(),
                     static_cast<std::ptrdiff_t>(choice % calls_.size()))
        ->first;
}

void decision_simulation::progress_call(std::uint32_t choice)
{
    if (calls_.empty())
        return;
    const std::uint64_t id = pick_call(choice);
    call_model& call = calls_.at(id);
    request_model& request = requests_.at(call.request);
    if (request.service_class->kind == core::call_kind::service)
        return;
    now_ += absl::Milliseconds(5);
    call.tokens += 1 + choice % 3;
    request.tokens = call.tokens;
    step(decision::call_progressed{core::call_id(id), call.tokens});
}

void decision_simulation::end_call(std::uint32_t choice)
{
    if (calls_.empty())
        return;
    const std::uint64_t id = pick_call(choice / 8);
    const bool has_tokens =
        calls_.at(id).tokens > requests_.at(calls_.at(id).request).tokens;
    switch (choice % 8) {
    case 0:
        end(core::call_id(id),
            core::may_have_run{core::reason::connection_lost});
        break;
    case 1:
        end(core::call_id(id),
            core::may_have_run{core::reason::connection_silent});
        break;
    case 2:
        if (!has_tokens)
            end(core::call_id(id), core::not_run{core::reason::backend_refused},
                absl::Milliseconds(choice % 300));
        break;
    case 3:
        if (!has_tokens)
            end(core::call_id(id), core::not_run{core::reason::connect_failed});
        break;
    default:
        end(core::call_id(id), core::ran{calls_.at(id).tokens});
        break;
    }
}

void decision_simulation::end_oldest()
{
    if (!calls_.empty())
        end(core::call_id(calls_.begin()->first),
            core::ran{calls_.begin()->second.tokens});
}

void decision_simulation::end(core::call_id id, const core::verdict& verdict,
                              absl::Duration retry_after)
{
    const call_model call = calls_.at(id.value());
    calls_.erase(id.value());
    request_model& request = requests_.at(call.request);
    --request.open_calls;
    if (!std::holds_alternative<core::not_run>(verdict))
        request.may_have_run = true;
    step(decision::call_ended{id, verdict, call.tokens, retry_after});
}

void decision_simulation::disconnect_caller(std::uint32_t choice)
{
    const std::uint64_t id = 1 + choice % next_request_;
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.is_finished)
        return;
    found->second.caller_gone = true;
    step(decision::caller_gone{core::request_id(id)});
    expect(found->second.is_finished || found->second.open_calls > 0,
           "a request without a call ends when its caller disconnects");
}

void decision_simulation::answer_claim(std::uint32_t choice)
{
    if (claims_.empty())
        return;
    const std::uint64_t id = claims_.front();
    claims_.erase(claims_.begin());
    constexpr std::array<decision::claim_outcome, 6> outcomes{
        decision::claim_outcome::granted,
        decision::claim_outcome::granted,
        decision::claim_outcome::granted,
        decision::claim_outcome::ran,
        decision::claim_outcome::in_progress,
        decision::claim_outcome::unavailable};
    const auto outcome = outcomes[choice % outcomes.size()];
    request_model& request = requests_.at(id);
    request.is_claimed = outcome == decision::claim_outcome::granted;
    request.is_queued = request.is_claimed && !request.is_finished;
    step(decision::key_claimed{core::request_id(id), outcome});
}

void decision_simulation::change_table(std::uint32_t choice)
{
    ++table_.version;
    core::backend_server& server =
        table_.servers[choice / 4 % table_.servers.size()];
    server.leaving = choice % 4 == 0;
    step(decision::table_applied{
        std::make_shared<const decision::routing_table>(table_)});
    if (choice % 64 == 3 && !is_draining_) {
        is_shut_down_ = true;
        step(decision::shutdown_requested{});
    }
}

void decision_simulation::report_load(std::uint32_t choice)
{
    decision::load_reported report;
    report.server = table_.servers[choice % table_.servers.size()].id;
    report.running = choice / 8 % 9;
    report.queued = choice / 128 % 20;
    report.age = absl::Milliseconds(choice % 5000);
    step(report);
}

void decision_simulation::on(const decision::start_call& action)
{
    request_model& request = model_of(action.request);
    const auto server = std::ranges::find(table_.servers, action.server,
                                          &core::backend_server::id);
    expect(server != table_.servers.end() && !server->leaving,
           "a leaving server gets no call");
    expect(serves(*server, request.request),
           "a server gets only requests that it serves");
    expect(!request.is_finished && request.open_calls == 0,
           "a request has one call at a time");
    expect(!request.caller_gone,
           "no call is started for a disconnected caller");
    expect(request.service_class->idempotent || !request.may_have_run,
           "a non-idempotent request is not called again if it may have run");
    expect(request.service_class->idempotent || request.is_claimed,
           "a key is claimed before the call");
    expect(action.resume_from == request.tokens,
           "a stream resumes after the delivered tokens");
    expect(action.resume_from == 0 || server->resumes_streams,
           "a stream resumes at a server that can resume streams");
    request.is_queued = false;
    expect_no_higher_tier_waits(request, action.server.value());
    request.has_granted_share = false;
    ++request.open_calls;
    calls_.emplace(action.call.value(),
                   call_model{action.request.value(), action.server.value(),
                              action.resume_from});
}

void decision_simulation::expect_no_higher_tier_waits(
    const request_model& request, const std::string& server) const
{
    if (request.has_granted_share)
        return;
    const auto found =
        std::ranges::find(table_.servers, core::backend_server_id(server),
                          &core::backend_server::id);
    for (const auto& [id, other] : requests_) {
        const bool could_run = other.is_queued && !other.is_finished &&
                               serves(*found, other.request) &&
                               (other.tokens == 0 || found->resumes_streams);
        expect(!could_run ||
                   other.service_class->tier >= request.service_class->tier,
               "no lower tier is served before a higher one that could run "
               "there: " +
                   request.request.service_class.value() + " before " +
                   other.request.service_class.value() + " at " + server);
    }
}

void decision_simulation::on(const decision::cancel_call& action)
{
    const auto found = calls_.find(action.call.value());
    expect(found != calls_.end(), "only open calls are cancelled");
    const request_model& request = requests_.at(found->second.request);
    expect(request.caller_gone || request.tokens == 0,
           "a partly delivered answer is not cancelled");
    expect(request.service_class->idempotent,
           "a non-idempotent call is not cancelled");
}

void decision_simulation::on(const decision::claim_key& action)
{
    request_model& request = model_of(action.request);
    expect(!request.is_finished && !request.is_claimed,
           "a key is claimed once");
    claims_.push_back(action.request.value());
}

void decision_simulation::on(const decision::record_outcome& action)
{
    const auto found = std::ranges::find_if(requests_, [&](const auto& each) {
        return each.second.request.key == action.key;
    });
    expect(found != requests_.end() && found->second.is_claimed &&
               !found->second.is_recorded,
           "the outcome of a claimed key is recorded once");
    found->second.is_recorded = true;
    expect(!std::holds_alternative<core::not_run>(action.verdict) ||
               !found->second.may_have_run,
           "a key is recorded as not run only if it did not run");
}

void decision_simulation::on(const decision::finish_request& action)
{
    request_model& request = model_of(action.request);
    expect(!request.is_finished, "a request ends once");
    expect(request.open_calls == 0, "a request ends only after its calls");
    request.is_finished = true;
    request.is_queued = false;
    request.is_answered = std::holds_alternative<core::ran>(action.verdict);
    expect(!std::holds_alternative<core::not_run>(action.verdict) ||
               (!request.may_have_run && request.tokens == 0),
           "not run is reported only if no call may have run");
    expect(!std::holds_alternative<core::not_run>(action.verdict) ||
               request.service_class->idempotent || request.is_claimed,
           "not run is reported for a key only if it was claimed");
    expect(!request.is_answered || request.may_have_run,
           "an answered request had a call");
    expect(!request.is_claimed || request.is_recorded,
           "the outcome of a claimed key is recorded before the end");
}

void decision_simulation::on(const decision::record_decision& action)
{
    if (action.request.value() == 0)
        return;
    request_model& request = model_of(action.request);
    switch (action.kind) {
    case decision::step_kind::queued:
        request.is_queued = request.service_class->idempotent;
        break;
    case decision::step_kind::retried:
    case decision::step_kind::resumed:
        request.is_queued = false;
        break;
    case decision::step_kind::share_granted:
        request.has_granted_share = true;
        break;
    default:
        break;
    }
}

void decision_simulation::drain()
{
    is_draining_ = true;
    for (core::backend_server& server : table_.servers)
        server.leaving = false;
    ++table_.version;
    step(decision::table_applied{
        std::make_shared<const decision::routing_table>(table_)});
    constexpr int max_rounds = 2000;
    for (int i = 0; i < max_rounds && decider_.open_requests() > 0; ++i) {
        while (!claims_.empty())
            answer_claim(0);
        end_oldest();
        advance(absl::Milliseconds(50));
    }
    expect(decider_.open_requests() == 0 && calls_.empty(),
           "every request ends");
    for (const auto& [id, request] : requests_)
        expect(request.is_finished, "every request ends");
}

void decision_simulation::expect_determinism() const
{
    decision::decider replayed(settings_);
    std::vector<decision::action> out;
    for (const auto& [at, event] : events_)
        replayed.step(at, event, out);
    expect(out == actions_, "equal events give equal actions");
}

std::size_t
decision_simulation::answered_count(const std::string& class_name) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(requests_, [&](const auto& each) {
            return each.second.is_answered &&
                   each.second.request.service_class.value() == class_name;
        }));
}

} // namespace oriolefall::tests

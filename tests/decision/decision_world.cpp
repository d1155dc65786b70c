#include "decision_world.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <rapidcheck.h>
#include <variant>

namespace oriolefall::tests {

namespace {

constexpr std::size_t kinds = 16;

core::service_class make_class(const std::string& name, core::tier tier)
{
    core::service_class made;
    made.name = core::class_name(name);
    made.tier = tier;
    made.target.first_token = absl::Seconds(2);
    made.deadline = absl::Seconds(20);
    made.minimum_share = 0.05;
    return made;
}

core::backend_server make_server(const std::string& id,
                                 const std::string& region,
                                 std::vector<std::string> serves)
{
    core::backend_server made;
    made.id = core::backend_server_id(id);
    made.location.region = core::region_name(region);
    made.serves = std::move(serves);
    made.slots = 2;
    made.resumes_streams = id != "e2";
    return made;
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

decision_world::decision_world()
    : settings_(make_settings()), subject_(settings_), table_(make_table())
{
    give(decision::table_applied{
        std::make_shared<const decision::routing_table>(table_)});
}

void decision_world::check(bool held, const std::string& rule) const
{
    if (!held)
        RC_FAIL(rule);
}

void decision_world::act(std::uint32_t choice)
{
    const std::uint32_t detail = choice / kinds;
    constexpr std::array<const char*, 6> arriving{
        "quick", "helpful", "patient", "once", "quick", "patient"};
    switch (choice % kinds) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        arrive(arriving[detail % arriving.size()], detail / 8 % 3);
        break;
    case 5:
    case 6:
        progress(detail);
        break;
    case 7:
    case 8:
    case 9:
        end_call(detail);
        break;
    case 10:
        leave(detail);
        break;
    case 11:
        answer_claim(detail);
        break;
    case 12:
        change_table(detail);
        break;
    case 13:
        report(detail);
        break;
    default:
        pass(absl::Milliseconds(1 + detail % 400));
        break;
    }
}

void decision_world::give(const decision::event& event)
{
    events_.emplace_back(now_, event);
    std::vector<decision::action> out;
    subject_.step(now_, event, out);
    for (const decision::action& each : out)
        std::visit([this](const auto& some) { on(some); }, each);
    std::ranges::move(out, std::back_inserter(actions_));
}

decision_world::request_model& decision_world::model_of(core::request_id id)
{
    const auto found = requests_.find(id.value());
    check(found != requests_.end(), "actions name known requests");
    return found->second;
}

void decision_world::arrive(const std::string& class_name,
                            std::uint32_t workspace)
{
    const std::uint64_t id = next_request_++;
    request_model model;
    model.request.id = core::request_id(id);
    model.request.workspace =
        core::workspace_id("w" + std::to_string(workspace));
    model.request.service_class = core::class_name(class_name);
    model.request.prompt_tokens = 100;
    model.rules =
        &*std::ranges::find(table_.classes, model.request.service_class,
                            &core::service_class::name);
    if (class_name == "once")
        model.request.key = core::idempotency_key("k" + std::to_string(id));
    else
        model.request.model = core::model_name(id % 2 == 0 ? "small" : "large");
    requests_.emplace(id, model);
    give(decision::request_arrived{model.request});
    const request_model& after = requests_.at(id);
    check(!is_shut_down_ || after.ended, "no request is taken after shutdown");
}

void decision_world::pass(absl::Duration time)
{
    const absl::Time until = now_ + time;
    while (subject_.next_tick() <= until) {
        now_ = std::max(now_, subject_.next_tick());
        give(decision::tick{});
    }
    now_ = until;
}

std::uint64_t decision_world::pick_call(std::uint32_t choice) const
{
    return std::next(calls_.begin(),
                     static_cast<std::ptrdiff_t>(choice % calls_.size()))
        ->first;
}

void decision_world::progress(std::uint32_t choice)
{
    if (calls_.empty())
        return;
    const std::uint64_t id = pick_call(choice);
    call_model& call = calls_.at(id);
    request_model& request = requests_.at(call.request);
    if (request.rules->kind == core::call_kind::service)
        return;
    now_ += absl::Milliseconds(5);
    call.tokens += 1 + choice % 3;
    request.tokens = call.tokens;
    give(decision::call_progressed{core::call_id(id), call.tokens});
}

void decision_world::end_call(std::uint32_t choice)
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

void decision_world::end_oldest()
{
    if (!calls_.empty())
        end(core::call_id(calls_.begin()->first),
            core::ran{calls_.begin()->second.tokens});
}

void decision_world::end(core::call_id id, const core::verdict& verdict,
                         absl::Duration retry_after)
{
    const call_model call = calls_.at(id.value());
    calls_.erase(id.value());
    request_model& request = requests_.at(call.request);
    --request.open_calls;
    if (!std::holds_alternative<core::not_run>(verdict))
        request.may_have_run = true;
    give(decision::call_ended{id, verdict, call.tokens, retry_after});
}

void decision_world::leave(std::uint32_t choice)
{
    const std::uint64_t id = 1 + choice % next_request_;
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.ended)
        return;
    found->second.caller_gone = true;
    give(decision::caller_gone{core::request_id(id)});
    check(found->second.ended || found->second.open_calls > 0,
          "a request that does not run ends when its caller leaves");
}

void decision_world::answer_claim(std::uint32_t choice)
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
    request.claimed = outcome == decision::claim_outcome::granted;
    request.queued = request.claimed && !request.ended;
    give(decision::key_claimed{core::request_id(id), outcome});
}

void decision_world::change_table(std::uint32_t choice)
{
    ++table_.version;
    core::backend_server& server =
        table_.servers[choice / 4 % table_.servers.size()];
    server.leaving = choice % 4 == 0;
    give(decision::table_applied{
        std::make_shared<const decision::routing_table>(table_)});
    if (choice % 64 == 3 && !drains_) {
        is_shut_down_ = true;
        give(decision::shutdown_requested{});
    }
}

void decision_world::report(std::uint32_t choice)
{
    decision::load_reported report;
    report.server = table_.servers[choice % table_.servers.size()].id;
    report.running = choice / 8 % 9;
    report.queued = choice / 128 % 20;
    report.age = absl::Milliseconds(choice % 5000);
    give(report);
}

void decision_world::on(const decision::start_call& action)
{
    request_model& request = model_of(action.request);
    const auto server = std::ranges::find(table_.servers, action.server,
                                          &core::backend_server::id);
    check(server != table_.servers.end() && !server->leaving,
          "a leaving server gets no call");
    check(serves(*server, request.request), "a server gets what it serves");
    check(!request.ended && request.open_calls == 0,
          "a request has one call at a time");
    check(!request.caller_gone, "no call is made for a caller that left");
    check(request.rules->idempotent || !request.may_have_run,
          "what may not be repeated has one call that may have run");
    check(request.rules->idempotent || request.claimed,
          "a key is claimed before the call");
    check(action.resume_from == request.tokens,
          "a stream goes on from what was delivered");
    check(action.resume_from == 0 || server->resumes_streams,
          "a stream goes on where it can be resumed");
    request.queued = false;
    check_no_higher_waits(request, action.server.value());
    request.granted_share = false;
    ++request.open_calls;
    calls_.emplace(action.call.value(),
                   call_model{action.request.value(), action.server.value(),
                              action.resume_from});
}

void decision_world::check_no_higher_waits(const request_model& request,
                                           const std::string& server) const
{
    if (request.granted_share)
        return;
    const auto found =
        std::ranges::find(table_.servers, core::backend_server_id(server),
                          &core::backend_server::id);
    for (const auto& [id, other] : requests_) {
        const bool could_run = other.queued && !other.ended &&
                               serves(*found, other.request) &&
                               (other.tokens == 0 || found->resumes_streams);
        check(!could_run || other.rules->tier >= request.rules->tier,
              "no lower tier goes before a higher one that could run there: " +
                  request.request.service_class.value() + " before " +
                  other.request.service_class.value() + " at " + server);
    }
}

void decision_world::on(const decision::cancel_call& action)
{
    const auto found = calls_.find(action.call.value());
    check(found != calls_.end(), "only open calls are cancelled");
    const request_model& request = requests_.at(found->second.request);
    check(request.caller_gone || request.tokens == 0,
          "an answer that is shown is not cut");
    check(request.rules->idempotent, "what runs once is not cancelled");
}

void decision_world::on(const decision::claim_key& action)
{
    request_model& request = model_of(action.request);
    check(!request.ended && !request.claimed, "a key is claimed once");
    claims_.push_back(action.request.value());
}

void decision_world::on(const decision::record_outcome& action)
{
    const auto found = std::ranges::find_if(requests_, [&](const auto& each) {
        return each.second.request.key == action.key;
    });
    check(found != requests_.end() && found->second.claimed &&
              !found->second.recorded,
          "the outcome of a claimed key is recorded once");
    found->second.recorded = true;
    check(!std::holds_alternative<core::not_run>(action.verdict) ||
              !found->second.may_have_run,
          "a key is recorded as not run only when it was not");
}

void decision_world::on(const decision::finish_request& action)
{
    request_model& request = model_of(action.request);
    check(!request.ended, "a request ends once");
    check(request.open_calls == 0, "a request ends after its calls");
    request.ended = true;
    request.queued = false;
    request.ran = std::holds_alternative<core::ran>(action.verdict);
    check(!std::holds_alternative<core::not_run>(action.verdict) ||
              (!request.may_have_run && request.tokens == 0),
          "not run is said only when nothing may have run");
    check(!std::holds_alternative<core::not_run>(action.verdict) ||
              request.rules->idempotent || request.claimed,
          "not run is said of a key only when it was claimed");
    check(!request.ran || request.may_have_run, "what ran had a call");
    check(!request.claimed || request.recorded,
          "an outcome is recorded before the end");
}

void decision_world::on(const decision::record_decision& action)
{
    if (action.request.value() == 0)
        return;
    request_model& request = model_of(action.request);
    switch (action.kind) {
    case decision::step_kind::queued:
        request.queued = request.rules->idempotent;
        break;
    case decision::step_kind::retried:
    case decision::step_kind::resumed:
        request.queued = false;
        break;
    case decision::step_kind::share_granted:
        request.granted_share = true;
        break;
    default:
        break;
    }
}

void decision_world::drain()
{
    drains_ = true;
    for (core::backend_server& server : table_.servers)
        server.leaving = false;
    ++table_.version;
    give(decision::table_applied{
        std::make_shared<const decision::routing_table>(table_)});
    constexpr int rounds = 2000;
    for (int i = 0; i < rounds && subject_.open_requests() > 0; ++i) {
        while (!claims_.empty())
            answer_claim(0);
        end_oldest();
        pass(absl::Milliseconds(50));
    }
    check(subject_.open_requests() == 0 && calls_.empty(),
          "every request ends");
    for (const auto& [id, request] : requests_)
        check(request.ended, "every request ends");
}

void decision_world::check_determinism() const
{
    decision::decider again(settings_);
    std::vector<decision::action> out;
    for (const auto& [at, event] : events_)
        again.step(at, event, out);
    check(out == actions_, "equal events give equal actions");
}

std::size_t decision_world::served(const std::string& class_name) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(requests_, [&](const auto& each) {
            return each.second.ran &&
                   each.second.request.service_class.value() == class_name;
        }));
}

} // namespace oriolefall::tests

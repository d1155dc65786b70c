#include "bench/decider_load.hpp"

#include <memory>
#include <string>
#include <variant>

namespace oriolefall::bench {

namespace {

constexpr std::uint64_t workspaces = 320;
constexpr std::uint64_t models = 8;
constexpr std::uint64_t prompt_heads = 64;
constexpr absl::Duration event_gap = absl::Microseconds(2);

core::service_class make_class(const std::string& name, core::tier tier)
{
    core::service_class made;
    made.name = core::class_name(name);
    made.tier = tier;
    made.target.first_token = absl::Seconds(30);
    made.deadline = absl::Minutes(10);
    return made;
}

decision::routing_table_ptr make_table(std::size_t servers)
{
    auto table = std::make_shared<decision::routing_table>();
    table->version = 1;
    table->classes = {make_class("quick", core::tier::interactive),
                      make_class("helpful", core::tier::standard),
                      make_class("patient", core::tier::batch)};
    for (std::size_t i = 0; i < servers; ++i) {
        core::backend_server server;
        server.id = core::backend_server_id("engine-" + std::to_string(i));
        server.location.region = core::region_name("near");
        server.serves = {"model-" + std::to_string(i % models)};
        server.resumes_streams = true;
        table->servers.push_back(std::move(server));
    }
    return table;
}

decision::decider_settings make_settings()
{
    decision::decider_settings settings;
    settings.location.region = core::region_name("near");
    settings.queue.max_requests = std::size_t{1} << 20U;
    settings.queue.max_bytes = std::size_t{1} << 40U;
    return settings;
}

} // namespace

decider_load::decider_load(std::size_t servers)
    : servers_(servers), subject_(make_settings()), random_(1)
{
    give(decision::table_applied{make_table(servers)});
}

void decider_load::give(const decision::event& event)
{
    now_ += event_gap;
    out_.clear();
    subject_.step(now_, event, out_);
    for (const decision::action& each : out_)
        if (const auto* started = std::get_if<decision::start_call>(&each))
            calls_.push_back(running_call{started->call, 0});
}

void decider_load::arrive()
{
    static const std::vector<std::string> classes{"quick", "helpful",
                                                  "patient"};
    const std::uint64_t drawn = random_();
    core::request request;
    request.id = core::request_id(next_request_++);
    request.workspace =
        core::workspace_id("workspace-" + std::to_string(drawn % workspaces));
    request.service_class =
        core::class_name(classes[(drawn >> 16U) % classes.size()]);
    request.model =
        core::model_name("model-" + std::to_string((drawn >> 24U) % models));
    request.prompt_tokens = 500;
    request.body_bytes = 2000;
    request.prefix_hash = 1 + (drawn >> 32U) % prompt_heads;
    give(decision::request_arrived{request});
}

void decider_load::progress()
{
    if (calls_.empty())
        return;
    running_call& call = calls_[next_progress_++ % calls_.size()];
    ++call.tokens;
    give(decision::call_progressed{call.call, call.tokens});
}

void decider_load::end()
{
    if (calls_.empty())
        return;
    const running_call call = calls_.front();
    calls_.pop_front();
    give(decision::call_ended{call.call, core::ran{call.tokens}, call.tokens});
}

void decider_load::report()
{
    const std::size_t server = random_() % servers_;
    give(decision::load_reported{
        .server = core::backend_server_id("engine-" + std::to_string(server)),
        .running = 4,
        .queued = 0});
}

} // namespace oriolefall::bench

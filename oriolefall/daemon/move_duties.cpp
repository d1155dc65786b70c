#include "oriolefall/daemon/move_duties.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/text.hpp"
#include "oriolefall/membership/rendezvous.hpp"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace oriolefall::daemon {

namespace {

constexpr std::size_t ring_capacity = 4096;
constexpr std::size_t batch_size = 256;
constexpr std::size_t order_capacity = 256;
/// Between two looks at figures, leaving servers and candidates.
constexpr absl::Duration round_interval = absl::Seconds(2);
/// Longest time of one order to an engine.
constexpr absl::Duration order_limit = absl::Seconds(2);
/// Instances that may hold the lease of one move.
constexpr std::size_t candidates_per_move = 3;

move::command_outcome to_outcome(backend::command_result answer)
{
    switch (answer) {
    case backend::command_result::loading:
        return move::command_outcome::loading;
    case backend::command_result::loaded:
        return move::command_outcome::loaded;
    case backend::command_result::refused:
        return move::command_outcome::refused;
    case backend::command_result::failed:
        break;
    }
    return move::command_outcome::failed;
}

/// From the process's own time to that of the calendar.
absl::Duration to_calendar()
{
    return absl::Now() - core::monotonic_now();
}

} // namespace

/// One move's duty with the client that it makes its calls with.
struct move_duties::running_move
{
    running_move(const objects::client_settings& client_settings,
                 const objects::move_duty_settings& settings,
                 objects::move_duty_hooks hooks)
        : client(client_settings),
          duty(
              settings, client.as_object_store(), [this] { client.stop(); },
              std::move(hooks))
    {
    }

    objects::client client;
    objects::move_duty duty;
};

move_duties::move_duties(platform_access access, members_hook members)
    : access_(std::move(access)), members_(std::move(members)),
      ring_(ring_capacity), orders_(order_capacity, order_limit),
      thread_("moves", [this] { run(); })
{
}

move_duties::~move_duties()
{
    stop();
}

void move_duties::stop()
{
    ring_.close();
    thread_.join();
}

void move_duties::apply(moves_in_force next)
{
    ring_.try_push(std::move(next));
}

void move_duties::note(const observe::request_finished& end)
{
    ring_.try_push(end);
}

void move_duties::run()
{
    std::vector<input> batch;
    absl::Time next_round = core::monotonic_now() + round_interval;
    while (ring_.pop_some(batch, batch_size, core::to_steady(next_round))) {
        for (const input& one : batch)
            std::visit([this](const auto& some) { take(some); }, one);
        batch.clear();
        if (core::monotonic_now() < next_round)
            continue;
        make_round();
        next_round = core::monotonic_now() + round_interval;
    }
    running_.clear();
}

void move_duties::take(const moves_in_force& next)
{
    in_force_ = next;
}

void move_duties::take(const observe::request_finished& end)
{
    if (in_force_.moves.empty())
        return;
    move::class_attainment& figures = figures_[end.service_class];
    figures.name = end.service_class;
    ++figures.answers;
    figures.within_target += end.attained ? 1 : 0;
}

void move_duties::take(const order_wanted& wanted)
{
    const core::backend_server* server = find_server(wanted.order.server);
    if (server == nullptr)
        return;
    const auto done = [this, wanted](backend::command_result answer) {
        const move::command_answered event{
            wanted.order.server, wanted.order.model, to_outcome(answer)};
        ring_.try_push(move_told{wanted.key, event});
    };
    orders_.submit(backend::load_model_command{
        .endpoint = server->endpoint,
        .model = wanted.order.model,
        .fencing_number = wanted.order.fencing_number,
        .send_before = wanted.order.send_before,
        .on_result = done});
}

void move_duties::take(const move_told& told)
{
    const auto found = running_.find(told.key);
    if (found != running_.end())
        found->second->duty.tell(told.event);
}

void move_duties::make_round()
{
    stop_ended();
    start_missing();
    report_figures();
    for (const move::move_object& some : in_force_.moves) {
        if (running_.contains({some.team, some.name}))
            ask_leaving_servers(some);
    }
}

void move_duties::stop_ended()
{
    std::erase_if(running_, [this](const auto& entry) {
        return std::ranges::none_of(
            in_force_.moves, [&](const move::move_object& some) {
                const move_key key{some.team, some.name};
                return key == entry.first && !move::is_ended(some);
            });
    });
}

void move_duties::start_missing()
{
    for (const move::move_object& some : in_force_.moves) {
        const move_key key{some.team, some.name};
        const bool wanted = !move::is_ended(some) && is_candidate(some);
        if (wanted && !running_.contains(key))
            running_.emplace(key, make_running(some));
    }
}

std::unique_ptr<move_duties::running_move>
move_duties::make_running(const move::move_object& some)
{
    const move_key key{some.team, some.name};
    objects::move_duty_settings settings;
    settings.team = some.team;
    settings.name = some.name;
    settings.instance = access_.instance;
    settings.mover.wall_clock_offset = to_calendar();
    objects::move_duty_hooks hooks;
    hooks.send_order = [this, key](const move::send_command& order) {
        ring_.try_push(order_wanted{key, order});
    };
    hooks.changed = [this](const move::move_object& object, std::uint64_t) {
        access_.tell(observe::log_entry{
            observe::log_level::info, "move",
            absl::StrCat(object.name.value(), ": ",
                         core::to_absl(move::to_string(object.phase)), ", ",
                         object.percent, "%")});
    };
    hooks.waits = [this, key](const move::wait_status& waits) {
        access_.tell(observe::log_entry{
            observe::log_level::info, "move",
            absl::StrCat(key.name.value(), " waits for ",
                         core::to_absl(move::to_string(waits.cause)))});
    };
    return std::make_unique<running_move>(
        client_settings_of(access_, "move/" + some.name.value()), settings,
        std::move(hooks));
}

void move_duties::report_figures()
{
    if (figures_.empty())
        return;
    move::attainment_reported report;
    for (const auto& [name, figures] : figures_)
        report.classes.push_back(figures);
    figures_.clear();
    for (const auto& [key, running] : running_)
        running->duty.tell(report);
}

void move_duties::ask_leaving_servers(const move::move_object& under_way)
{
    if (under_way.phase != move::phase::draining)
        return;
    for (const core::backend_server_id& id : under_way.leaving) {
        const core::backend_server* server = find_server(id);
        if (server != nullptr)
            ask({under_way.team, under_way.name}, *server);
    }
}

void move_duties::ask(const move_key& key, const core::backend_server& server)
{
    const auto seen = [this, key, id = server.id](std::uint64_t running) {
        ring_.try_push(move_told{key, move::server_load_reported{id, running}});
    };
    // A plain service tells no load. It got no work since the move was
    // accepted, which is longer ago than any of its calls lasts.
    if (server.kind == core::call_kind::service)
        seen(0);
    else
        orders_.submit(backend::load_query{server.endpoint, seen});
}

bool move_duties::is_candidate(const move::move_object& some) const
{
    const auto members = members_();
    const auto weight = [&](const core::instance_id& id) {
        return membership::rendezvous_weight(some.name.value(), id.value());
    };
    const std::uint64_t own = weight(access_.instance);
    const auto better =
        std::ranges::count_if(*members, [&](const membership::member& member) {
            return member.id != access_.instance &&
                   member.state == membership::member_state::live &&
                   weight(member.id) > own;
        });
    return static_cast<std::size_t>(better) < candidates_per_move;
}

const core::backend_server*
move_duties::find_server(const core::backend_server_id& id) const
{
    if (!in_force_.table)
        return nullptr;
    const auto& servers = in_force_.table->servers;
    const auto found =
        std::ranges::find(servers, id, &core::backend_server::id);
    return found == servers.end() ? nullptr : &*found;
}

} // namespace oriolefall::daemon

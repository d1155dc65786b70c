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
constexpr std::size_t command_capacity = 256;
/// Interval between two updates of attainment, leaving servers and candidates.
constexpr absl::Duration update_interval = absl::Seconds(2);
/// Timeout of one command to an engine.
constexpr absl::Duration command_timeout = absl::Seconds(2);
/// Maximum number of instances that compete for the lease of one move.
constexpr std::size_t max_candidates_per_move = 3;

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

/// Offset to add to the monotonic clock to get wall-clock time.
absl::Duration current_wall_clock_offset()
{
    return absl::Now() - core::monotonic_now();
}

} // namespace

/// The duty of one move with the object store client that it uses.
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

move_duties::move_duties(platform_access access, members_source members)
    : access_(std::move(access)), get_members_(std::move(members)),
      ring_(ring_capacity), engine_commands_(command_capacity, command_timeout),
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

void move_duties::record(const observe::request_finished& end)
{
    ring_.try_push(end);
}

void move_duties::run()
{
    std::vector<input> batch;
    absl::Time next_update_at = core::monotonic_now() + update_interval;
    while (ring_.pop_some(batch, batch_size, core::to_steady(next_update_at))) {
        for (const input& item : batch)
            std::visit([this](const auto& input) { handle(input); }, item);
        batch.clear();
        if (core::monotonic_now() < next_update_at)
            continue;
        update_duties();
        next_update_at = core::monotonic_now() + update_interval;
    }
    running_moves_.clear();
}

void move_duties::handle(const moves_in_force& next)
{
    in_force_ = next;
}

void move_duties::handle(const observe::request_finished& end)
{
    if (in_force_.moves.empty())
        return;
    move::class_attainment& attainment = attainment_[end.service_class];
    attainment.name = end.service_class;
    ++attainment.answers;
    attainment.within_target += end.attained ? 1 : 0;
}

void move_duties::handle(const command_requested& requested)
{
    const core::backend_server* server = find_server(requested.command.server);
    if (server == nullptr)
        return;
    const auto on_answer = [this, requested](backend::command_result answer) {
        const move::command_answered event{requested.command.server,
                                           requested.command.model,
                                           to_outcome(answer)};
        ring_.try_push(move_event{requested.key, event});
    };
    engine_commands_.submit(backend::load_model_command{
        .endpoint = server->endpoint,
        .model = requested.command.model,
        .fencing_number = requested.command.fencing_number,
        .send_before = requested.command.send_before,
        .on_result = on_answer});
}

void move_duties::handle(const move_event& received)
{
    const auto found = running_moves_.find(received.key);
    if (found != running_moves_.end())
        found->second->duty.try_post(received.event);
}

void move_duties::update_duties()
{
    stop_ended_duties();
    start_missing_duties();
    report_attainment();
    for (const move::move_object& object : in_force_.moves) {
        if (running_moves_.contains({object.team, object.name}))
            query_leaving_servers(object);
    }
}

void move_duties::stop_ended_duties()
{
    std::erase_if(running_moves_, [this](const auto& entry) {
        return std::ranges::none_of(
            in_force_.moves, [&](const move::move_object& object) {
                const move_key key{object.team, object.name};
                return key == entry.first && !move::is_ended(object);
            });
    });
}

void move_duties::start_missing_duties()
{
    for (const move::move_object& object : in_force_.moves) {
        const move_key key{object.team, object.name};
        const bool is_needed = !move::is_ended(object) && is_candidate(object);
        if (is_needed && !running_moves_.contains(key))
            running_moves_.emplace(key, make_running_move(object));
    }
}

std::unique_ptr<move_duties::running_move>
move_duties::make_running_move(const move::move_object& object)
{
    const move_key key{object.team, object.name};
    objects::move_duty_settings settings;
    settings.team = object.team;
    settings.name = object.name;
    settings.instance = access_.instance;
    settings.mover.wall_clock_offset = current_wall_clock_offset();
    objects::move_duty_hooks hooks;
    hooks.send_command = [this, key](const move::send_command& command) {
        ring_.try_push(command_requested{key, command});
    };
    hooks.move_changed = [this](const move::move_object& object,
                                std::uint64_t) {
        access_.report(observe::log_entry{
            observe::log_level::info, "move",
            absl::StrCat(object.name.value(), ": ",
                         core::to_absl(move::to_string(object.phase)), ", ",
                         object.percent, "%")});
    };
    hooks.waiting_changed = [this, key](const move::wait_status& status) {
        access_.report(observe::log_entry{
            observe::log_level::info, "move",
            absl::StrCat(key.name.value(), " waits for ",
                         core::to_absl(move::to_string(status.cause)))});
    };
    return std::make_unique<running_move>(
        make_client_settings(access_, "move/" + object.name.value()), settings,
        std::move(hooks));
}

void move_duties::report_attainment()
{
    if (attainment_.empty())
        return;
    move::attainment_reported report;
    for (const auto& [name, attainment] : attainment_)
        report.classes.push_back(attainment);
    attainment_.clear();
    for (const auto& [key, running] : running_moves_)
        running->duty.try_post(report);
}

void move_duties::query_leaving_servers(const move::move_object& object)
{
    if (object.phase != move::phase::draining)
        return;
    for (const core::backend_server_id& id : object.leaving) {
        const core::backend_server* server = find_server(id);
        if (server != nullptr)
            query_load({object.team, object.name}, *server);
    }
}

void move_duties::query_load(const move_key& key,
                             const core::backend_server& server)
{
    const auto report_load = [this, key,
                              id = server.id](std::uint64_t running_requests) {
        ring_.try_push(
            move_event{key, move::server_load_reported{id, running_requests}});
    };
    // A plain service reports no load, so its load is taken as 0: it has got no
    // work since the move was accepted, and no call lasts that long.
    if (server.kind == core::call_kind::service)
        report_load(0);
    else
        engine_commands_.submit(
            backend::load_query{server.endpoint, report_load});
}

bool move_duties::is_candidate(const move::move_object& object) const
{
    const auto members = get_members_();
    const auto weight = [&](const core::instance_id& id) {
        return membership::rendezvous_weight(object.name.value(), id.value());
    };
    const std::uint64_t own = weight(access_.instance);
    const auto better_candidates =
        std::ranges::count_if(*members, [&](const membership::member& member) {
            return member.id != access_.instance &&
                   member.state == membership::member_state::live &&
                   weight(member.id) > own;
        });
    return static_cast<std::size_t>(better_candidates) <
           max_candidates_per_move;
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

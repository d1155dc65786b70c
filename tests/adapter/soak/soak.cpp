#include "tests/adapter/soak/soak.hpp"

#include "tests/adapter/soak/page_call.hpp"

#include <csignal>
#include <utility>

namespace oriolefall::soak {

namespace {

constexpr milliseconds start_limit{10000};
constexpr milliseconds restart_pause{300};
constexpr milliseconds end_check{40};
constexpr milliseconds grace{8000};
/// Time that callers get to hear the last answers.
constexpr milliseconds last_answers{7000};
/// After trouble, before bounds on time hold again.
constexpr milliseconds contact_time{4000};
constexpr milliseconds in_force_within{2500};
constexpr milliseconds time_excess{2000};
constexpr unsigned status_ok = 200;

store_fault store_fault_of(disruption what)
{
    switch (what) {
    case disruption::store_refuses:
        return store_fault::refuses;
    case disruption::store_too_many:
        return store_fault::too_many;
    case disruption::store_silent:
        return store_fault::silent;
    case disruption::store_resets:
        return store_fault::resets;
    default:
        return store_fault::late_writes;
    }
}

link_fault link_fault_of(disruption what)
{
    switch (what) {
    case disruption::store_link_delayed:
    case disruption::server_link_delayed:
    case disruption::caller_link_delayed:
        return link_fault::delayed;
    case disruption::store_link_reset:
    case disruption::server_link_reset:
    case disruption::caller_link_reset:
        return link_fault::reset;
    case disruption::store_link_silenced:
    case disruption::server_link_silenced:
    case disruption::caller_link_silenced:
        return link_fault::silenced;
    case disruption::caller_link_cut_forth:
        return link_fault::cut_forth;
    case disruption::store_link_cut:
        return link_fault::cut;
    default:
        return link_fault::cut_back;
    }
}

server_fault server_fault_of(disruption what)
{
    switch (what) {
    case disruption::server_hangs:
        return server_fault::hangs;
    case disruption::server_grey:
        return server_fault::grey;
    case disruption::server_slow:
        return server_fault::slow;
    case disruption::server_loses_answers:
        return server_fault::loses_answers;
    default:
        return server_fault::garbles;
    }
}

} // namespace

soak::soak(soak_settings settings)
    : settings_(std::move(settings)),
      seen_({stream_events, route_time_limit, time_excess, in_force_within,
             is_planned_only(settings_.seed)}),
      world_(context_, seen_, settings_.seed)
{
    std::filesystem::create_directories(settings_.folder);
    for (unsigned each = 0; each < settings_.instances; ++each)
        add_member(each);
}

void soak::add_member(unsigned number)
{
    auto made = std::make_unique<member>();
    made->to_store = std::make_shared<proxy>(
        context_,
        tcp::endpoint(asio::ip::address_v4::loopback(), world_.store().port()));
    made->to_store->start();
    const std::string address = own_address(number);
    made->from_callers = std::make_shared<proxy>(
        context_, tcp::endpoint(asio::ip::make_address(address), callers_port));
    made->from_callers->start();
    made->process = std::make_unique<instance_process>(
        settings_.program, settings_.folder,
        instance_place{"instance-" + std::to_string(number),
                       number % 2 == 0 ? "north-a" : "south-a",
                       address,
                       made->to_store->port(),
                       {own_address(0), own_address(1)}});
    members_.push_back(std::move(made));
}

soak_result soak::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    world_.start();
    caller_settings callers;
    callers.host = host_name;
    callers.api_key = api_key;
    callers.workspace = workspace_name;
    callers.patience = route_time_limit;
    callers.seed = settings_.seed;
    for (const auto& each : members_) {
        const auto& place = each->process->place();
        callers.instances.push_back(
            {place.name,
             place.address + ":" + std::to_string(callers_port),
             each->from_callers->port(),
             {asio::ip::make_address(place.address), directory_port}});
    }
    caller_ = std::make_unique<caller>(context_, std::move(callers), seen_);
    for (const auto& each : members_) {
        each->process->start();
        asio::co_spawn(context_, watch(*each), asio::detached);
    }
    asio::co_spawn(context_, play(), asio::detached);
    context_.run();
    soak_result result;
    result.broken = seen_.broken();
    result.attempts = seen_.attempts();
    result.answered = seen_.answered();
    result.other_endings = seen_.other_endings();
    judge_recovery(recovered_from_, result);
    return result;
}

task<void> soak::play()
{
    if (co_await await_ready()) {
        caller_->start();
        for (const step& each :
             make_schedule(settings_.seed, settings_.disturbed))
            asio::co_spawn(context_, carry_out(each), asio::detached);
        co_await pause(settings_.disturbed + settings_.recovery);
        recovered_from_ = clock::now();
        co_await pause(settings_.watched);
        caller_->stop();
        const auto until = clock::now() + last_answers;
        while (caller_->open_requests() > 0 && clock::now() < until)
            co_await pause(end_check);
    } else {
        seen_.note_broken("instances not ready in time after their start");
    }
    over_ = true;
    co_await pause(end_check * 2);
    context_.stop();
}

task<bool> soak::await_ready()
{
    const auto until = clock::now() + start_limit;
    for (const auto& each : members_) {
        bool ready = false;
        while (!ready && clock::now() < until) {
            ready = co_await is_ready(each->process->place().address);
            if (!ready)
                co_await pause(end_check);
        }
        if (!ready)
            co_return false;
    }
    co_return true;
}

task<bool> soak::is_ready(std::string address)
{
    const auto told = co_await ask_page(
        {asio::ip::make_address(address), ready_port}, "/ready");
    co_return told && told->result_int() == status_ok;
}

task<void> soak::watch(member& each)
{
    while (!over_) {
        co_await pause(end_check);
        const bool is_late = clock::now() > each.must_end_by;
        if (is_late && !each.process->has_ended()) {
            seen_.note_broken(each.process->place().name +
                              " did not end in its grace time");
            kill(each);
        }
        if (!each.process->has_ended())
            continue;
        if (!each.is_ending)
            seen_.note_broken(each.process->place().name +
                              " ended by itself, status " +
                              std::to_string(each.process->exit_status()));
        co_await pause(restart_pause);
        if (over_)
            co_return;
        each.is_ending = false;
        each.is_paused = false;
        each.must_end_by = clock::time_point::max();
        each.process->start();
        seen_.note_restart(each.process->place().name, clock::now());
    }
}

void soak::kill(member& each)
{
    each.is_ending = true;
    each.must_end_by = clock::time_point::max();
    each.process->send_signal(SIGKILL);
}

void soak::excuse(const member& each, const step& wanted)
{
    const auto now = clock::now();
    seen_.note_trouble(
        each.process->place().name,
        {now, now + wanted.lasts + contact_time, to_text(wanted.what)});
}

void soak::excuse_all(const step& wanted)
{
    for (const auto& each : members_)
        excuse(*each, wanted);
}

task<void> soak::carry_out(step wanted)
{
    co_await pause(wanted.at);
    if (wanted.what <= disruption::hang_up ||
        (wanted.what >= disruption::kill_instance &&
         wanted.what <= disruption::pause_instance)) {
        co_await disturb_instance(wanted);
    } else if (wanted.what == disruption::move_route) {
        world_.move_routes();
    } else if (wanted.what == disruption::drain_server) {
        co_await world_.drain_server(wanted.target);
    } else if (wanted.what <= disruption::store_forgets ||
               wanted.what == disruption::store_restored) {
        co_await disturb_store(wanted);
    } else if (wanted.what >= disruption::server_leaves ||
               (wanted.what >= disruption::server_crashes &&
                wanted.what <= disruption::server_link_cut_back)) {
        co_await disturb_server(wanted);
    } else {
        member& each = *members_[wanted.target % members_.size()];
        proxy& link = wanted.what <= disruption::store_link_cut_back
                          ? *each.to_store
                          : *each.from_callers;
        excuse(each, wanted);
        co_await disturb_link(link, link_fault_of(wanted.what), wanted.lasts);
    }
}

task<void> soak::disturb_instance(step wanted)
{
    member& each = *members_[wanted.target % members_.size()];
    if (wanted.what == disruption::kill_all) {
        excuse_all(wanted);
        for (const auto& one : members_)
            kill(*one);
        co_return;
    }
    // A process that is not there takes no signal.
    if (each.process->has_ended())
        co_return;
    if (wanted.what == disruption::hang_up) {
        each.process->send_signal(SIGHUP);
    } else if (wanted.what == disruption::stop_instance) {
        each.process->send_signal(SIGTERM);
        if (!std::exchange(each.is_ending, true))
            each.must_end_by = clock::now() + grace +
                               (each.is_paused ? contact_time : end_check);
    } else if (wanted.what == disruption::kill_instance) {
        excuse(each, wanted);
        kill(each);
    } else {
        excuse(each, wanted);
        each.is_paused = true;
        if (each.must_end_by != clock::time_point::max())
            each.must_end_by += wanted.lasts;
        each.process->send_signal(SIGSTOP);
        co_await pause(wanted.lasts);
        each.process->send_signal(SIGCONT);
        each.is_paused = false;
    }
}

task<void> soak::disturb_store(step wanted)
{
    if (wanted.what == disruption::store_forgets) {
        world_.store().forget_history();
        co_return;
    }
    excuse_all(wanted);
    if (wanted.what == disruption::store_restored) {
        co_await world_.restore_store(wanted.lasts);
        co_return;
    }
    world_.store().set_fault(store_fault_of(wanted.what));
    co_await pause(wanted.lasts);
    world_.store().set_fault(store_fault::none);
}

task<void> soak::disturb_server(step wanted)
{
    if (wanted.what == disruption::server_crashes)
        co_await world_.crash_server(wanted.target, wanted.lasts);
    else if (wanted.what == disruption::server_leaves)
        // The store says so long after the answers must have been obeyed.
        co_await world_.leave_server(wanted.target,
                                     in_force_within + wanted.lasts);
    else if (wanted.what == disruption::server_wants_quiet)
        co_await world_.spoil_server(wanted.target, server_fault::wants_quiet,
                                     quiet_time + wanted.lasts);
    else if (wanted.what <= disruption::server_garbles)
        co_await world_.spoil_server(
            wanted.target, server_fault_of(wanted.what), wanted.lasts);
    else
        co_await world_.spoil_link(wanted.target, link_fault_of(wanted.what),
                                   wanted.lasts);
}

task<void> soak::disturb_link(proxy& link, link_fault fault, milliseconds lasts)
{
    link.set_fault(fault);
    co_await pause(lasts);
    link.set_fault(link_fault::none);
}

void soak::judge_recovery(clock::time_point from, soak_result& result)
{
    result.share_recovered = seen_.share_answered(from);
    if (result.share_recovered < settings_.least_share)
        result.broken.push_back("only " +
                                std::to_string(result.share_recovered) +
                                " of the requests answered after recovery");
}

} // namespace oriolefall::soak

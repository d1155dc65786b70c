#include "dispatch_world.hpp"

#include <map>
#include <rapidcheck.h>
#include <set>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatch_world;
using tests::some_routes;
using tests::some_server;

namespace {

const std::vector<std::string> route_names{"safe", "unsafe", "stream",
                                           "resumable"};

/// Plays the forwarding duty: carries out what is decided, ends calls at
/// random, and holds the decisions to their rules.
class random_day
{
public:
    random_day()
    {
        world_.set_routes(some_routes(1));
        change_servers();
    }

    void play_step()
    {
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
        case 2:
            arrive();
            break;
        case 3:
            change_servers();
            break;
        case 4:
            leave();
            break;
        case 5:
            world_.pass(absl::Milliseconds(*rc::gen::inRange(1, 4000)));
            break;
        default:
            end_some_call();
            break;
        }
        take_actions();
    }

    void end_all()
    {
        world_.pass(absl::Seconds(30));
        take_actions();
        RC_ASSERT(world_.subject.open_requests() == 0U);
        for (const auto& [id, request] : requests_)
            RC_ASSERT(request.ends == 1);
    }

private:
    struct request
    {
        std::string route;
        int ends = 0;
        int may_have_run = 0;
        std::set<std::string> servers;
    };

    void arrive()
    {
        const auto route = *rc::gen::elementOf(route_names);
        const core::request_id id = world_.arrive(route);
        requests_[id.value()].route = route;
    }

    void change_servers()
    {
        std::vector<server_entry> entries;
        leaving_.clear();
        for (const std::string id : {"d1", "d2", "d3", "e1", "e2", "e3"}) {
            const int state = *rc::gen::inRange(0, 4);
            if (state == 0)
                continue;
            entries.push_back(
                some_server(id, id[0] == 'd' ? "desk" : "engine"));
            entries.back().leaving = state == 1;
            if (state == 1)
                leaving_.insert(id);
        }
        world_.set_servers(entries);
    }

    void leave()
    {
        if (requests_.empty())
            return;
        const auto chosen =
            *rc::gen::inRange<std::uint64_t>(1, requests_.size() + 1);
        request& left = requests_[chosen];
        if (left.ends > 0)
            return;
        ++left.ends;
        world_.give(caller_left{core::request_id(chosen)});
    }

    void end_some_call()
    {
        if (calls_.empty())
            return;
        const send_call call = calls_.begin()->second;
        request& own = requests_[call.id.value()];
        switch (*rc::gen::inRange(0, 6)) {
        case 5:
            world_.give(call_silent{call.id, call.call});
            break;
        case 0:
            calls_.erase(call.call.value());
            world_.give(call_not_run{
                call.id, call.call,
                *rc::gen::element(
                    not_run_cause::not_connected, not_run_cause::no_room,
                    not_run_cause::refused, not_run_cause::wrong_server),
                std::nullopt});
            break;
        case 1:
            calls_.erase(call.call.value());
            ++own.may_have_run;
            world_.give(call_broken{call.id, call.call,
                                    broken_cause::connection_lost, false});
            break;
        case 2:
            calls_.erase(call.call.value());
            ++own.may_have_run;
            if (call.hold_errors)
                world_.give(call_failed{call.id, call.call, 500, std::nullopt});
            else
                finish(call, own);
            break;
        case 3:
            world_.give(call_answered{call.id, call.call, 200, std::nullopt});
            break;
        default:
            calls_.erase(call.call.value());
            ++own.may_have_run;
            finish(call, own);
            break;
        }
    }

    void finish(const send_call& call, request& own)
    {
        ++own.ends;
        world_.give(call_done{call.id, call.call, 3, {}});
    }

    void take_actions()
    {
        const auto actions = std::exchange(world_.actions, {});
        for (const action& each : actions)
            std::visit([this](const auto& value) { check(value); }, each);
    }

    void check(const send_call& order)
    {
        request& own = requests_[order.id.value()];
        RC_ASSERT(own.ends == 0);
        RC_ASSERT(!leaving_.contains(order.server.value()));
        const bool at_most_once =
            own.route == "unsafe" || own.route == "stream";
        if (at_most_once)
            RC_ASSERT(own.may_have_run == 0);
        // Sent where it may have run: on two servers at most.
        calls_.emplace(order.call.value(), order);
    }

    void check(const cancel_call& order)
    {
        // What is cancelled was sent and may have run.
        ++requests_[order.id.value()].may_have_run;
        calls_.erase(order.call.value());
    }

    void check(const pass_failure& order)
    {
        ++requests_[order.id.value()].ends;
    }

    void check(const refuse& order)
    {
        request& own = requests_[order.id.value()];
        ++own.ends;
        if (order.not_run)
            RC_ASSERT(own.may_have_run == 0);
    }

    void check(const tell_load&) {}
    void check(const decision_note&) {}
    void check(const server_note&) {}

    dispatch_world world_;
    std::map<std::uint64_t, request> requests_;
    std::map<std::uint64_t, send_call> calls_;
    std::set<std::string> leaving_;
};

} // namespace

Test(dispatcher_properties, each_request_ends_once_and_promises_are_true)
{
    const bool holds = rc::check([] {
        random_day day;
        const int steps = *rc::gen::inRange(1, 120);
        for (int step = 0; step < steps; ++step)
            day.play_step();
        day.end_all();
    });
    cr_assert(holds);
}

Test(dispatcher_properties, equal_events_give_equal_actions)
{
    const bool holds = rc::check([] {
        const auto names = *rc::gen::container<std::vector<std::string>>(
            rc::gen::elementOf(route_names));
        const auto play = [&names] {
            dispatch_world world;
            world.set_routes(some_routes(1));
            world.set_servers(
                {some_server("d1", "desk"), some_server("d2", "desk"),
                 some_server("e1", "engine"), some_server("e2", "engine")});
            for (const std::string& name : names)
                world.arrive(name, {{name.size(), 700}, {1, 20}});
            return world.actions;
        };
        RC_ASSERT(play() == play());
    });
    cr_assert(holds);
}

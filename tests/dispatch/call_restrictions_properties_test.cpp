#include "dispatcher_simulation.hpp"

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatcher_simulation;
using tests::make_route_settings;
using tests::make_server_entry;

namespace {

/// Servers that say random things of themselves in their answers, while the
/// store lists them, drops them, says that they drain and restarts them; and
/// what each of these states allows.
class restricting_servers
{
public:
    restricting_servers()
    {
        simulation_.set_routes(make_route_settings(1));
        change_list();
    }

    void run_random_step()
    {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            change_list();
            break;
        case 1:
            simulation_.advance(absl::Milliseconds(*rc::gen::inRange(1, 3000)));
            break;
        default:
            receive_request();
            break;
        }
    }

private:
    struct restriction
    {
        bool is_leaving = false;
        bool has_limit_of_zero = false;
        absl::Time quiet_until = absl::InfinitePast();
        /// The longest spread of that time.
        absl::Time quiet_until_at_most = absl::InfinitePast();
    };

    void change_list()
    {
        entries_.clear();
        for (const std::string id : {"d1", "d2", "d3"}) {
            std::int64_t& started_at = started_at_[id];
            const int change = *rc::gen::inRange(0, 6);
            if (change == 0)
                continue;
            if (change == 1)
                ++started_at;
            server_entry entry = make_server_entry(id, "desk");
            entry.is_draining = change == 2;
            entry.started_at_ms = started_at;
            entries_.push_back(entry);
        }
        simulation_.set_servers(entries_);
    }

    restriction& restriction_of(const server_entry& entry)
    {
        return restrictions_[{entry.id, entry.started_at_ms}];
    }

    [[nodiscard]] bool is_forbidden(const server_entry& entry)
    {
        const restriction& said = restriction_of(entry);
        return entry.is_draining || said.is_leaving || said.has_limit_of_zero ||
               simulation_.now < said.quiet_until;
    }

    [[nodiscard]] bool is_surely_allowed(const server_entry& entry)
    {
        return !is_forbidden(entry) &&
               simulation_.now >= restriction_of(entry).quiet_until_at_most;
    }

    void receive_request()
    {
        const std::size_t before = simulation_.count<send_call>();
        simulation_.receive_request("unsafe");
        if (simulation_.count<send_call>() == before) {
            for (const server_entry& entry : entries_)
                RC_ASSERT(!is_surely_allowed(entry));
            RC_ASSERT(simulation_.last<refuse>()->not_run);
            return;
        }
        const send_call call = *simulation_.last<send_call>();
        const auto found =
            std::ranges::find(entries_, call.server, &server_entry::id);
        RC_ASSERT(found != entries_.end());
        RC_ASSERT(!is_forbidden(*found));
        answer(call, *found);
    }

    void answer(const send_call& call, const server_entry& entry)
    {
        simulation_.advance(absl::Milliseconds(1));
        restriction& said = restriction_of(entry);
        server_notice notice;
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            notice.is_leaving = true;
            said.is_leaving = true;
            break;
        case 1: {
            const auto time = absl::Milliseconds(*rc::gen::inRange(1, 5000));
            notice.quiet_time = time;
            said.quiet_until =
                std::max(said.quiet_until, simulation_.now + time);
            said.quiet_until_at_most = std::max(said.quiet_until_at_most,
                                                simulation_.now + 1.1 * time);
            break;
        }
        case 2:
            notice.rate_limit = 0;
            said.has_limit_of_zero = true;
            break;
        case 3:
            notice.is_rate_limit_invalid = true;
            notice.is_quiet_time_invalid = true;
            break;
        default:
            break;
        }
        simulation_.step(call_answer_started{call.id, call.call, 200, notice});
        simulation_.step(call_completed{call.id, call.call, 0, {}});
    }

    dispatcher_simulation simulation_;
    std::vector<server_entry> entries_;
    std::map<std::string, std::int64_t> started_at_;
    std::map<server_incarnation, restriction> restrictions_;
};

} // namespace

Test(call_restrictions_properties,
     calls_go_where_no_state_forbids_and_all_states_end)
{
    const bool holds = rc::check([] {
        restricting_servers servers;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step)
            servers.run_random_step();
    });
    cr_assert(holds);
}

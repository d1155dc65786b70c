#include "fleet_headers.hpp"

#include "bench/engine_counters.hpp"
#include "bench/load_call.hpp"
#include "bench/local_fleet.hpp"
#include "oriolefall/core/clock.hpp"

#include <csignal>
#include <filesystem>
#include <sys/wait.h>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::tests;

namespace {

bool is_running(pid_t pid)
{
    return ::kill(pid, 0) == 0;
}

} // namespace

Test(local_fleet, its_stand_ins_answer_and_end_with_it)
{
    bench::trace_header header = plain_header();
    header.servers = {quick_engine("e1", 4), plain_service("s1")};
    pid_t engine = 0;
    std::string folder;
    bench::load_outcome outcome;
    {
        bench::local_fleet fleet(fleet_of(header, 0));
        engine = fleet.server(0).pid();
        folder = fleet.folder();
        outcome = bench::send_load(fleet.server_endpoint(0),
                                   question("how do relay teams start?", 6),
                                   core::monotonic_now());
    }
    cr_assert(outcome.ending == bench::load_ending::whole);
    cr_assert_eq(outcome.tokens, 6);
    cr_assert_not(is_running(engine));
    cr_assert_not(std::filesystem::exists(folder));
}

Test(local_fleet, a_caller_sees_a_cut_answer_as_cut)
{
    bench::trace_header header = plain_header();
    header.servers = {quick_engine("e1", 4)};
    bench::load_outcome outcome;
    {
        bench::local_fleet fleet(fleet_of(header, 0));
        outcome = bench::send_load(
            fleet.server_endpoint(0), question("which map?", 1'000'000),
            core::monotonic_now(),
            [&](std::string_view) { fleet.server(0).send_signal(SIGKILL); });
    }
    cr_assert(outcome.ending == bench::load_ending::cut);
}

#include "bench/local_fleet.hpp"
#include "tests/system/fleet_headers.hpp"

#include <algorithm>
#include <chrono>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

// A failed assertion does not unwind the stack, so each scenario ends its
// processes before anything is asserted.

using namespace oriolefall;
using namespace oriolefall::tests;

namespace {

constexpr const char* object = "/objects/teams/operators/main";
/// A change is in force everywhere within this time.
constexpr std::chrono::seconds in_force_limit{10};
/// An instance may take as long to hear of the others.
constexpr std::chrono::seconds start_limit{20};
constexpr std::chrono::milliseconds look_interval{50};

nlohmann::json get_json(const core::endpoint& from, const std::string& path)
{
    httplib::Client client(from.address, from.port);
    const auto result = client.Get(path);
    if (!result || result->status != 200)
        return {};
    return nlohmann::json::parse(result->body, nullptr, false);
}

/// Writes the team's settings; the version, or 0 when no answer came.
std::uint64_t put_settings(const core::endpoint& platform,
                           const std::string& model)
{
    const nlohmann::json body{
        {"value",
         {{"models", {{{"name", model}}}},
          {"workspaces", {{{"name", "club"}, {"weight", 1.0}}}}}}};
    httplib::Client client(platform.address, platform.port);
    const auto result = client.Put(object, body.dump(), "application/json");
    if (!result || result->status != 200)
        return 0;
    return nlohmann::json::parse(result->body)["version"].get<std::uint64_t>();
}

std::uint64_t version_at(const core::endpoint& instance)
{
    const nlohmann::json status = get_json(instance, "/v1/status");
    if (!status.is_object() || !status.contains("settings"))
        return 0;
    return status["settings"].value("operators", std::uint64_t{0});
}

/// True when `holds` became true within `limit`.
template <class Condition>
bool within(std::chrono::seconds limit, Condition holds)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
        if (holds())
            return true;
        std::this_thread::sleep_for(look_interval);
    }
    return false;
}

bool in_force_everywhere(const std::vector<core::endpoint>& instances,
                         std::uint64_t version)
{
    return within(in_force_limit, [&] {
        return std::ranges::all_of(instances, [&](const auto& instance) {
            return version_at(instance) >= version;
        });
    });
}

/// True when each instance names this many that callers may use.
bool all_name(const std::vector<core::endpoint>& instances, std::size_t count)
{
    return within(start_limit, [&] {
        return std::ranges::all_of(instances, [&](const auto& instance) {
            const auto entry = get_json(instance, "/v1/entry?workspace=club");
            return entry.is_object() && entry["endpoints"].size() == count;
        });
    });
}

bench::local_fleet_settings three_instances()
{
    bench::trace_header header = plain_header();
    header.servers = {quick_engine("e1", 4)};
    return fleet_of(header, 3);
}

/// Puts a first version in force, switches `faults` of the platform on, puts
/// a second one; true when that is in force everywhere in time.
bool change_under(const std::string& faults)
{
    bench::local_fleet fleet(three_instances());
    const core::endpoint& platform = fleet.platform_endpoint();
    const std::uint64_t first = put_settings(platform, "m1");
    if (!in_force_everywhere(fleet.entries(), first))
        return false;
    set_faults(platform, faults);
    const std::uint64_t told = put_settings(platform, "m2");
    const std::uint64_t second = std::max(told, first + 1);
    return in_force_everywhere(fleet.entries(), second);
}

} // namespace

Test(settings_in_force, a_change_reaches_every_instance)
{
    cr_assert(change_under("{}"));
}

Test(settings_in_force, a_change_reaches_all_though_watches_are_silent)
{
    cr_assert(change_under(R"({"silent_watch":true})"));
}

Test(settings_in_force, a_change_whose_answer_was_lost_reaches_all)
{
    cr_assert(change_under(R"({"lose_answers":1})"));
}

Test(settings_in_force, a_stale_read_takes_no_version_back)
{
    std::uint64_t first = 0;
    std::vector<std::uint64_t> later;
    bool was_in_force = false;
    {
        bench::local_fleet fleet(three_instances());
        const core::endpoint& platform = fleet.platform_endpoint();
        put_settings(platform, "m1");
        first = put_settings(platform, "m2");
        was_in_force = in_force_everywhere(fleet.entries(), first);
        set_faults(platform, R"({"stale_reads":true,"silent_watch":true})");
        // Two reads of the list at least: a silent watch ends in one.
        std::this_thread::sleep_for(in_force_limit);
        std::ranges::transform(fleet.entries(), std::back_inserter(later),
                               version_at);
    }
    cr_assert(was_in_force);
    for (const std::uint64_t version : later)
        cr_assert_geq(version, first);
}

Test(settings_in_force, a_leaving_instance_is_no_longer_named)
{
    bool named = false;
    bool dropped = false;
    int status = -1;
    {
        bench::local_fleet fleet(three_instances());
        const std::vector<core::endpoint> stay{fleet.entries()[1],
                                               fleet.entries()[2]};
        named = all_name(fleet.entries(), 3);
        fleet.instance(0).send_signal(SIGTERM);
        status = fleet.instance(0).await_exit();
        dropped = all_name(stay, 2);
    }
    cr_assert(named);
    cr_assert(dropped);
    cr_assert_eq(status, 0);
}

Test(settings_in_force, an_instance_killed_hard_is_no_longer_named)
{
    bool named = false;
    bool dropped = false;
    {
        bench::local_fleet fleet(three_instances());
        const std::vector<core::endpoint> stay{fleet.entries()[1],
                                               fleet.entries()[2]};
        named = all_name(fleet.entries(), 3);
        fleet.instance(0).send_signal(SIGKILL);
        dropped = all_name(stay, 2);
    }
    cr_assert(named);
    cr_assert(dropped);
}

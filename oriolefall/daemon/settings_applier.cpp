#include "oriolefall/daemon/settings_applier.hpp"

#include "oriolefall/settings/assembly.hpp"
#include "oriolefall/settings/deployment.hpp"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <memory>
#include <utility>

namespace oriolefall::daemon {

namespace {

constexpr std::size_t ring_capacity = 1024;
/// Changes that are put in force together at most.
constexpr std::size_t most_together = 256;
constexpr std::chrono::hours longest_wait{1};

} // namespace

settings_applier::settings_applier(applied_hook applied, tell_hook tell)
    : applied_(std::move(applied)), tell_(std::move(tell)),
      ring_(ring_capacity), in_force_(std::make_shared<const versions>()),
      thread_("settings", [this] { run(); })
{
}

settings_applier::~settings_applier()
{
    ring_.close();
    thread_.join();
}

bool settings_applier::give(std::vector<settings::tree_object> objects)
{
    return ring_.try_push(std::move(objects));
}

std::shared_ptr<const versions> settings_applier::in_force() const
{
    return in_force_.get();
}

void settings_applier::run()
{
    std::vector<std::vector<settings::tree_object>> batch;
    while (ring_.pop_some(batch, most_together,
                          std::chrono::steady_clock::now() + longest_wait)) {
        const std::uint64_t before = replica_.changes();
        for (const auto& objects : batch) {
            for (const settings::tree_object& object : objects)
                replica_.offer(object);
        }
        batch.clear();
        if (replica_.changes() != before)
            apply();
    }
}

void settings_applier::apply()
{
    const settings::assembled made = settings::assemble(replica_.objects());
    // Version 1 is the deployment that the instance was started with.
    const std::uint64_t version = replica_.changes() + 1;
    applied_(std::make_shared<const decision::routing_table>(
        settings::make_routing_table(made.deployment, version)));
    in_force_.set(std::make_shared<const versions>(replica_.versions()));
    report(replica_, made.faults.size());
}

void settings_applier::report(const settings::replica& held, std::size_t faults)
{
    tell_(observe::counter_added{"settings_applied_total", "", ""});
    tell_(observe::counter_added{"settings_faults_total", "", "", faults});
    tell_(observe::log_note{
        faults == 0 ? observe::log_level::info : observe::log_level::warning,
        "settings",
        absl::StrCat("in force: ", held.versions().size(), " objects, ", faults,
                     " left out for faults")});
}

} // namespace oriolefall::daemon

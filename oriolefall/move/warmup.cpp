#include "oriolefall/move/warmup.hpp"

#include <algorithm>

namespace oriolefall::move {

void warmup::begin(const std::vector<arriving_server>& servers)
{
    targets_.clear();
    for (const arriving_server& server : servers) {
        for (const core::model_name& model : server.models)
            targets_[{server.id, model}].checks_fencing = server.checks_fencing;
    }
}

void warmup::on(const command_answered& event)
{
    const auto found = targets_.find({event.server, event.model});
    if (found == targets_.end() || event.outcome == command_outcome::failed)
        return;
    found->second.is_loaded = event.outcome == command_outcome::loaded;
}

void warmup::step(absl::Time now, const term& term,
                  const mover_settings& settings, std::vector<action>& out)
{
    for (auto& [target, state] : targets_) {
        const bool is_due =
            now >= state.last_command_at + settings.command_interval;
        const bool is_too_early =
            !state.checks_fencing && now < term.unfenced_commands_from;
        if (!is_due || is_too_early)
            continue;
        // A command to a server that already has the model causes no load.
        const bool causes_load = !state.is_loaded;
        if (causes_load && now < last_load_at_ + settings.load_interval)
            continue;
        if (causes_load)
            last_load_at_ = now;
        state.last_command_at = now;
        const absl::Time send_before =
            std::min(term.held_until, now + settings.command_timeout);
        out.emplace_back(send_command{target.first, target.second,
                                      term.fencing_number, send_before});
    }
}

bool warmup::is_complete() const
{
    return std::ranges::all_of(
        targets_, [](const auto& some) { return some.second.is_loaded; });
}

std::vector<std::string> warmup::missing() const
{
    std::vector<std::string> names;
    for (const auto& [target, state] : targets_) {
        if (!state.is_loaded)
            names.push_back(target.first.value() + "/" + target.second.value());
    }
    return names;
}

} // namespace oriolefall::move

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

void warmup::on(const order_answered& event)
{
    const auto found = targets_.find({event.server, event.model});
    if (found == targets_.end() || event.outcome == order_outcome::failed)
        return;
    found->second.loaded = event.outcome == order_outcome::loaded;
}

void warmup::step(absl::Time now, const term& held,
                  const mover_settings& settings, std::vector<action>& out)
{
    for (auto& [target, state] : targets_) {
        const bool is_due = now >= state.ordered_at + settings.order_repeat;
        const bool is_quiet = !state.checks_fencing && now < held.quiet_until;
        if (!is_due || is_quiet)
            continue;
        // A repeat to a server that has the model loads nothing.
        const bool loads = !state.loaded;
        if (loads && now < last_load_at_ + settings.load_interval)
            continue;
        if (loads)
            last_load_at_ = now;
        state.ordered_at = now;
        const absl::Time send_before =
            std::min(held.held_until, now + settings.order_limit);
        out.emplace_back(send_order{target.first, target.second,
                                    held.fencing_number, send_before});
    }
}

bool warmup::is_complete() const
{
    return std::ranges::all_of(
        targets_, [](const auto& some) { return some.second.loaded; });
}

std::vector<std::string> warmup::missing() const
{
    std::vector<std::string> names;
    for (const auto& [target, state] : targets_) {
        if (!state.loaded)
            names.push_back(target.first.value() + "/" + target.second.value());
    }
    return names;
}

} // namespace oriolefall::move

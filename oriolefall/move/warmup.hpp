#ifndef ORIOLEFALL_MOVE_WARMUP_HPP
#define ORIOLEFALL_MOVE_WARMUP_HPP

#include "oriolefall/move/event.hpp"
#include "oriolefall/move/mover_settings.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oriolefall::move {

/// Loads the models of arriving servers and keeps them loaded: sends each
/// command within the rate limit of the weight store, and sends it again at an
/// interval. Pure; for use by one thread.
class warmup
{
public:
    /// Discards the progress so far and starts to load the models of `servers`.
    void begin(const std::vector<arriving_server>& servers);
    void on(const command_answered& event);

    /// The term in which one lease holder sends commands.
    struct term
    {
        /// Sent with each command.
        std::uint64_t fencing_number = 0;
        /// Servers that do not check fencing numbers get no command before
        /// this.
        absl::Time unfenced_commands_from = absl::InfinitePast();
        /// No command may be sent after this.
        absl::Time held_until = absl::InfinitePast();
    };

    /// Appends the commands that are due.
    void step(absl::Time now, const term& term, const mover_settings& settings,
              std::vector<action>& out);

    [[nodiscard]] bool is_complete() const;
    /// "SERVER/MODEL" of each model that is not loaded yet.
    [[nodiscard]] std::vector<std::string> missing() const;

private:
    struct progress
    {
        bool checks_fencing = false;
        bool is_loaded = false;
        absl::Time last_command_at = absl::InfinitePast();
    };
    using target = std::pair<core::backend_server_id, core::model_name>;

    std::map<target, progress> targets_;
    absl::Time last_load_at_ = absl::InfinitePast();
};

} // namespace oriolefall::move

#endif

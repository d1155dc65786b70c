#include "programs/oriolefall/commands.hpp"

namespace oriolefall::programs {

std::vector<command> all_commands()
{
    return {serve_command(),    check_command(),    entry_command(),
            status_command(),   settings_command(), move_command(),
            instance_command(), explain_command()};
}

} // namespace oriolefall::programs

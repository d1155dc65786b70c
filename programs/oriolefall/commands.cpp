#include "programs/oriolefall/commands.hpp"

namespace oriolefall::programs {

std::vector<command> all_commands()
{
    return {check_command(), entry_command(), status_command(),
            explain_command()};
}

} // namespace oriolefall::programs

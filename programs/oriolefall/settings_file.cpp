#include "programs/oriolefall/settings_file.hpp"

namespace oriolefall::programs {

void print_faults(std::ostream& out, const std::string& file,
                  const std::vector<core::settings_error>& faults)
{
    for (const core::settings_error& fault : faults)
        out << file << ": " << (fault.path.empty() ? "/" : fault.path)
            << ": found " << fault.found << ", allowed: " << fault.allowed
            << '\n';
}

} // namespace oriolefall::programs

#include "programs/oriolefall/settings_file.hpp"

#include <fstream>
#include <iterator>

namespace oriolefall::programs {

std::optional<std::string> read_file(const std::string& name)
{
    std::ifstream file(name);
    if (!file)
        return std::nullopt;
    std::string text{std::istreambuf_iterator<char>(file), {}};
    return file.bad() ? std::nullopt : std::optional(std::move(text));
}

void print_faults(std::ostream& out, const std::string& file,
                  const std::vector<core::settings_error>& faults)
{
    for (const core::settings_error& fault : faults)
        out << file << ": " << (fault.path.empty() ? "/" : fault.path)
            << ": found " << fault.found << ", allowed: " << fault.allowed
            << '\n';
}

} // namespace oriolefall::programs

#include "bench/fleet_usage.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace oriolefall::bench {

absl::Duration cpu_time_of(const std::vector<std::string>& thread_names)
{
    absl::Duration total = absl::ZeroDuration();
    for (const auto& thread :
         std::filesystem::directory_iterator("/proc/self/task")) {
        std::string name;
        std::getline(std::ifstream(thread.path() / "comm"), name);
        if (std::ranges::find(thread_names, name) == thread_names.end())
            continue;
        std::int64_t nanoseconds = 0;
        std::ifstream(thread.path() / "schedstat") >> nanoseconds;
        total += absl::Nanoseconds(nanoseconds);
    }
    return total;
}

std::uint64_t resident_bytes()
{
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    std::ifstream("/proc/self/statm") >> size >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace oriolefall::bench

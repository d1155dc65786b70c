#include "oriolefall/core/read_file.hpp"

#include <fstream>
#include <iterator>
#include <utility>

namespace oriolefall::core {

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::string text{std::istreambuf_iterator<char>(file), {}};
    return file.bad() ? std::nullopt : std::optional(std::move(text));
}

} // namespace oriolefall::core

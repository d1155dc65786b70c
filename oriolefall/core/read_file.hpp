#ifndef ORIOLEFALL_CORE_READ_FILE_HPP
#define ORIOLEFALL_CORE_READ_FILE_HPP

#include <optional>
#include <string>

namespace oriolefall::core {

/// Returns the contents of a file, or nullopt if it cannot be read.
/// Thread-safe.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path);

} // namespace oriolefall::core

#endif

#ifndef ORIOLEFALL_CORE_READ_FILE_HPP
#define ORIOLEFALL_CORE_READ_FILE_HPP

#include <optional>
#include <string>

namespace oriolefall::core {

/// The text of a file; nothing when it cannot be read. Any thread.
[[nodiscard]] std::optional<std::string> read_file(const std::string& name);

} // namespace oriolefall::core

#endif

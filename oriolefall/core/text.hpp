#ifndef ORIOLEFALL_CORE_TEXT_HPP
#define ORIOLEFALL_CORE_TEXT_HPP

#include <absl/strings/string_view.h>

#include <string_view>

namespace oriolefall::core {

/// The same text for Abseil's functions, which may have been built with a
/// string view of their own. Any thread.
[[nodiscard]] inline absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace oriolefall::core

#endif

#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_PAGE_CALL_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_PAGE_CALL_HPP

#include "tests/adapter/soak/coroutine.hpp"

#include <optional>
#include <string>

namespace oriolefall::soak {

using page_answer = http::response<http::string_body>;

/// Asks an instance for one of its pages; nothing when no answer came within
/// a second.
task<std::optional<page_answer>> ask_page(tcp::endpoint at, std::string target);

} // namespace oriolefall::soak

#endif

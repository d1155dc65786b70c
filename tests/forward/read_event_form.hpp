#ifndef ORIOLEFALL_TESTS_FORWARD_READ_EVENT_FORM_HPP
#define ORIOLEFALL_TESTS_FORWARD_READ_EVENT_FORM_HPP

#include "oriolefall/forward/event_form.hpp"

#include <string_view>

namespace oriolefall::tests {

/// Checks one event, with or without the blank line that ends it.
[[nodiscard]] forward::event_form read_event_form(std::string_view event);

} // namespace oriolefall::tests

#endif

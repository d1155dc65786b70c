#include "read_event_form.hpp"

#include <algorithm>

namespace oriolefall::tests {

forward::event_form read_event_form(std::string_view event)
{
    forward::event_form_reader reader;
    while (!event.empty()) {
        const auto line_end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, line_end);
        event.remove_prefix(std::min(line_end + 1, event.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty() && !reader.read(line))
            break;
    }
    return reader.result();
}

} // namespace oriolefall::tests

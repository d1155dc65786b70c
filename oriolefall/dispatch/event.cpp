#include "oriolefall/dispatch/event.hpp"

#include <array>
#include <variant>

namespace oriolefall::dispatch {

std::string_view to_string(not_run_cause value)
{
    static constexpr std::array<std::string_view, 5> names{
        "not_connected", "no_room", "refused_by_server", "wrong_server",
        "withheld"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(broken_cause value)
{
    static constexpr std::array<std::string_view, 2> names{"connection_lost",
                                                           "malformed"};
    return names.at(static_cast<std::size_t>(value));
}

bool may_be_dropped(const event& value)
{
    return std::holds_alternative<arrival>(value) ||
           std::holds_alternative<call_silent>(value) ||
           std::holds_alternative<crash_report_received>(value) ||
           std::holds_alternative<notice_report_received>(value);
}

} // namespace oriolefall::dispatch

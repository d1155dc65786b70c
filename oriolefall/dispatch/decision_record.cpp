#include "oriolefall/dispatch/decision_record.hpp"

#include <array>

namespace oriolefall::dispatch {

std::string_view to_string(decision value)
{
    static constexpr std::array<std::string_view, 10> names{
        "queued", "sent",     "not_run",        "broken",      "silent",
        "failed", "answered", "passed_failure", "caller_left", "refused"};
    return names.at(static_cast<std::size_t>(value));
}

bool ends_request(decision value)
{
    return value >= decision::answered;
}

bool is_failure(decision value)
{
    return value == decision::passed_failure || value == decision::refused;
}

std::string_view to_string(notice_kind value)
{
    static constexpr std::array<std::string_view, 4> names{
        "leaving", "quiet", "invalid_limit", "invalid_quiet"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace oriolefall::dispatch

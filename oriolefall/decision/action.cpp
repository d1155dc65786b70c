#include "oriolefall/decision/action.hpp"

namespace oriolefall::decision {

std::string_view to_string(step_kind kind)
{
    switch (kind) {
    case step_kind::queued:
        return "queued";
    case step_kind::placed:
        return "placed";
    case step_kind::retried:
        return "retried";
    case step_kind::resumed:
        return "resumed";
    case step_kind::ejected:
        return "ejected";
    case step_kind::probed:
        return "probed";
    case step_kind::refused:
        return "refused";
    case step_kind::cancelled:
        return "cancelled";
    case step_kind::share_granted:
        return "share_granted";
    }
    return "unknown";
}

bool has_cause(step_kind kind)
{
    return kind != step_kind::queued && kind != step_kind::placed;
}

} // namespace oriolefall::decision

#ifndef ORIOLEFALL_FORWARD_ANSWER_FORM_HPP
#define ORIOLEFALL_FORWARD_ANSWER_FORM_HPP

#include "oriolefall/forward/protocol_hooks.hpp"

#include <string_view>

namespace oriolefall::forward {

/// Whose answer it is that names `answer_name`, empty for none, and that comes
/// for a request named `request_name`.
[[nodiscard]] addressee addressee_of(std::string_view request_name,
                                     std::string_view answer_name);

/// True for the type of a stream of server-sent events.
[[nodiscard]] bool is_event_stream(std::string_view content_type);

/// True for statuses that begin with 2.
[[nodiscard]] bool is_success(unsigned status);

/// Why this can't be the head of an answer to the request; empty if it can. The
/// names are those used in logs. Thread-safe.
[[nodiscard]] std::string_view find_head_fault(const request_head& request,
                                               const answer_head& head,
                                               const answer_head_info& info,
                                               bool expects_event_stream);

} // namespace oriolefall::forward

#endif

#include "oriolefall/forward/answer_form.hpp"

#include "oriolefall/core/text.hpp"
#include "oriolefall/net/header_fields.hpp"

#include <absl/strings/strip.h>

#include <algorithm>

namespace oriolefall::forward {

namespace {

constexpr unsigned success_class = 2;
constexpr unsigned lowest_final_status = 200;
constexpr unsigned highest_status = 599;

/// True if no field of this name has another coding than the identity.
template <class Fields>
bool has_identity_only(const Fields& head, http::field name)
{
    const auto [first, last] = head.equal_range(name);
    return std::all_of(first, last, [](const auto& field) {
        return field.value().empty() ||
               core::equals_ignore_case(net::to_std(field.value()), "identity");
    });
}

} // namespace

addressee addressee_of(std::string_view request_name,
                       std::string_view answer_name)
{
    if (answer_name == request_name)
        return addressee::this_request;
    return answer_name.empty() ? addressee::unnamed
                               : addressee::another_request;
}

bool is_event_stream(std::string_view content_type)
{
    const auto type = absl::StripAsciiWhitespace(
        core::to_absl(content_type.substr(0, content_type.find(';'))));
    return core::equals_ignore_case({type.data(), type.size()},
                                    "text/event-stream");
}

bool is_success(unsigned status)
{
    return status / 100 == success_class;
}

std::string_view find_head_fault(const request_head& request,
                                 const answer_head& head,
                                 const answer_head_info& info,
                                 bool expects_event_stream)
{
    const unsigned status = head.result_int();
    if (status < lowest_final_status || status > highest_status)
        return "status";
    if (info.not_run || info.wrong_server || !is_success(status))
        return {};
    if (!info.is_signed)
        return "unsigned_success";
    if (!has_identity_only(head, http::field::content_encoding) &&
        has_identity_only(request, http::field::accept_encoding))
        return "encoded_body";
    if (expects_event_stream &&
        !is_event_stream(net::field_value(head, "Content-Type")))
        return "no_event_stream";
    return {};
}

} // namespace oriolefall::forward

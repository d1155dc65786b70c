#include "oriolefall/forward/http_text.hpp"

#include "oriolefall/core/text.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <array>

namespace oriolefall::forward {

namespace {

using core::to_absl;
using dispatch::refusal;

constexpr std::array<std::string_view, 8> hop_by_hop_fields{
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "expect"};

http::status status_of(const dispatch::refuse& action)
{
    switch (action.cause) {
    case refusal::unknown_route:
        return http::status::not_found;
    case refusal::unknown_key:
        return http::status::unauthorized;
    case refusal::time_over:
        return action.not_run ? http::status::service_unavailable
                              : http::status::gateway_timeout;
    default:
        return action.not_run ? http::status::service_unavailable
                              : http::status::bad_gateway;
    }
}

constexpr std::string_view keep_alive_parameter = "timeout=";

std::string status_line(http::status status)
{
    const auto reason = http::obsolete_reason(status);
    return absl::StrCat("HTTP/1.1 ", static_cast<unsigned>(status), " ",
                        absl::string_view(reason.data(), reason.size()),
                        "\r\n");
}

std::string format_json_answer(http::status status, const std::string& fields,
                               const std::string& body, bool close_after)
{
    return absl::StrCat(
        status_line(status), fields,
        "Content-Type: application/json\r\nContent-Length: ", body.size(),
        "\r\n", close_after ? "Connection: close\r\n" : "", "\r\n", body);
}

} // namespace

bool is_hop_by_hop(std::string_view name, std::string_view connection)
{
    const auto equals = [name](std::string_view other) {
        return core::equals_ignore_case(name, other);
    };
    if (std::ranges::any_of(hop_by_hop_fields, equals))
        return true;
    if (connection.empty())
        return false;
    const std::vector<absl::string_view> listed =
        absl::StrSplit(to_absl(connection), ',');
    return std::ranges::any_of(listed, [&equals](absl::string_view each) {
        const absl::string_view stripped = absl::StripAsciiWhitespace(each);
        return equals({stripped.data(), stripped.size()});
    });
}

std::optional<std::chrono::milliseconds>
parse_keep_alive_timeout(std::string_view text)
{
    const auto start = text.find(keep_alive_parameter);
    if (start == std::string_view::npos)
        return std::nullopt;
    const std::string_view rest =
        text.substr(start + keep_alive_parameter.size());
    unsigned seconds = 0;
    if (!absl::SimpleAtoi(to_absl(rest.substr(0, rest.find(','))), &seconds))
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

void append_field(std::string& text, std::string_view name,
                  std::string_view value)
{
    absl::StrAppend(&text, to_absl(name), ": ", to_absl(value), "\r\n");
}

std::string format_caller_head(const http::response_header<>& head,
                               const body_framing& framing, bool close_after)
{
    const auto reason = head.reason();
    std::string text =
        absl::StrCat("HTTP/1.1 ", head.result_int(), " ",
                     absl::string_view(reason.data(), reason.size()), "\r\n");
    const auto connection_value = head[http::field::connection];
    const std::string_view connection(connection_value.data(),
                                      connection_value.size());
    for (const auto& field : head) {
        const std::string_view name(field.name_string().data(),
                                    field.name_string().size());
        if (field.name() == http::field::content_length ||
            is_hop_by_hop(name, connection))
            continue;
        append_field(text, name, {field.value().data(), field.value().size()});
    }
    if (framing.length)
        append_field(text, "Content-Length", std::to_string(*framing.length));
    else if (framing.chunked)
        append_field(text, "Transfer-Encoding", "chunked");
    if (close_after)
        append_field(text, "Connection", "close");
    text += "\r\n";
    return text;
}

std::string format_refusal(const dispatch::refuse& action, bool close_after)
{
    std::string fields;
    if (action.not_run && action.retry_after > absl::ZeroDuration())
        append_field(
            fields, "Retry-After",
            absl::StrFormat("%.3f", absl::ToDoubleSeconds(action.retry_after)));
    const std::string body = absl::StrCat(
        R"({"error":")", to_absl(dispatch::to_string(action.cause)),
        R"(","verdict":")", action.not_run ? "not_run" : "may_have_run", "\"}");
    return format_json_answer(status_of(action), fields, body, close_after);
}

std::string format_invalid_request(http::status status)
{
    return format_json_answer(status, {}, R"({"error":"invalid_request"})",
                              true);
}

std::string format_chunk(std::string_view bytes)
{
    return absl::StrCat(absl::Hex(bytes.size()), "\r\n", to_absl(bytes),
                        "\r\n");
}

} // namespace oriolefall::forward

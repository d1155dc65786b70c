#include "tests/front/front_fixture.hpp"
#include "tests/front/raw_caller.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::front_fixture;
using tests::raw_caller;

namespace {

std::optional<core::reason> answer_hello(const front::submission& submission)
{
    tests::push_complete_answer(submission.answers, {"hello"});
    return std::nullopt;
}

/// Generates header lines that the HTTP library interprets, with valid and
/// invalid values.
rc::Gen<std::string> any_header()
{
    const auto name = rc::gen::element<std::string>(
        "Content-Length", "Transfer-Encoding", "Range", "Expect", "Connection",
        "Content-Type", "Content-Encoding", "Accept-Encoding", "X-Workspace",
        "X-Service-Class", "Idempotency-Key", "Host", "");
    const auto value = rc::gen::oneOf(
        rc::gen::element<std::string>(
            "0", "5", "-1", "99999999999999999999", "chunked", "close",
            "100-continue", "bytes=0-1", "bytes=5-1,-", "gzip", "rules",
            "multipart/form-data", "multipart/form-data; boundary=b",
            "application/x-www-form-urlencoded"),
        rc::gen::string<std::string>());
    return rc::gen::apply(
        [](const std::string& header_name, const std::string& header_value) {
            return header_name + ": " + header_value + "\r\n";
        },
        name, value);
}

rc::Gen<std::string> any_request()
{
    const auto line = rc::gen::element<std::string>(
        "POST /v1/chat/completions HTTP/1.1\r\n",
        "POST /v1/services/entries HTTP/1.1\r\n", "GET /healthz HTTP/1.1\r\n",
        "GET /v1/entry?workspace=%zz&=&&a HTTP/1.0\r\n",
        "HEAD /metrics HTTP/1.1\r\n", "PUT / HTTP/1.1\r\n", "\r\n", "");
    return rc::gen::apply(
        [](const std::string& first, const std::vector<std::string>& headers,
           const std::string& rest) {
            std::string bytes = first;
            for (const std::string& header : headers)
                bytes += header;
            return bytes + "\r\n" + rest;
        },
        line, rc::gen::container<std::vector<std::string>>(any_header()),
        rc::gen::oneOf(rc::gen::string<std::string>(),
                       rc::gen::just(tests::chat_body("hi", true))));
}

/// True when the connection was closed without an answer, or when the answer is
/// no server error (5xx).
bool is_answered_or_closed(const std::string& answer)
{
    return answer.empty() || (answer.starts_with("HTTP/1.1 ") &&
                              answer.find("HTTP/1.1 5") == std::string::npos);
}

} // namespace

Test(bytes, any_request_is_answered_or_refused)
{
    front_fixture fixture(answer_hello);
    cr_assert(rc::check([&fixture] {
        const std::string bytes = *any_request();
        raw_caller caller(fixture.port());
        caller.send(bytes);
        caller.finish_sending();
        RC_ASSERT(is_answered_or_closed(caller.read_all()));
    }));
    raw_caller caller(fixture.port());
    caller.send(tests::chat_request_bytes(tests::chat_body("hi", true)));
    cr_assert(caller.read_until("[DONE]").find("[DONE]") != std::string::npos);
}

#include "fleet_headers.hpp"
#include "raw_connection.hpp"

#include "bench/load_call.hpp"
#include "bench/local_fleet.hpp"
#include "oriolefall/core/clock.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::tests;
using bench::load_ending;
using bench::load_outcome;

namespace {

/// A bad request's answer and that of a good one after it.
struct bad_then_good
{
    int status = 0;
    std::string body;
    load_outcome good;
};

/// Sends `bad` to a fleet of one instance, then a sound request.
template <class Bad>
bad_then_good after(const Bad& bad)
{
    bench::trace_header header = plain_header();
    header.servers = {quick_engine("e1", 4)};
    bench::local_fleet fleet(fleet_of(header, 1));
    bad_then_good seen;
    bad(fleet.entries()[0], seen);
    seen.good = bench::send_load(fleet.entries()[0], question("fine?", 5),
                                 core::monotonic_now());
    return seen;
}

/// Posts a body to the chat path with these headers.
auto posting(const std::string& body, const httplib::Headers& headers)
{
    return [=](const core::endpoint& to, bad_then_good& seen) {
        httplib::Client client(to.address, to.port);
        const auto answer = client.Post("/v1/chat/completions", headers, body,
                                        "application/json");
        if (!answer)
            return;
        seen.status = answer->status;
        seen.body = answer->body;
    };
}

httplib::Headers headers_for(const std::string& class_name)
{
    return {{"X-Workspace", "club"}, {"X-Service-Class", class_name}};
}

std::string asking(const std::string& model)
{
    return nlohmann::json{
        {"model", model},
        {"messages", {{{"role", "user"}, {"content", "hello"}}}}}
        .dump();
}

void expect_rejected(const bad_then_good& seen)
{
    cr_expect_geq(seen.status, 400);
    cr_expect_lt(seen.status, 500);
    const auto body = nlohmann::json::parse(seen.body, nullptr, false);
    cr_expect(body.is_object() && body.contains("error") &&
              body["error"].value("verdict", "") == "not_run");
    cr_expect(seen.good.ending == load_ending::whole);
}

} // namespace

Test(bad_request, malformed_json_is_rejected)
{
    expect_rejected(after(posting("{\"model\":", headers_for("answer"))));
}

Test(bad_request, an_unknown_class_is_rejected)
{
    expect_rejected(after(posting(asking("assistant"), headers_for("nosuch"))));
}

Test(bad_request, an_unknown_model_is_rejected)
{
    expect_rejected(after(posting(asking("nosuch"), headers_for("answer"))));
}

Test(bad_request, a_missing_workspace_is_rejected)
{
    expect_rejected(after(posting(asking("assistant"), {})));
}

Test(bad_request, a_header_of_ten_megabytes_is_rejected)
{
    constexpr std::size_t header_bytes = 10'000'000;
    const auto huge = [](const core::endpoint& to, bad_then_good& seen) {
        const std::string answer = exchange_bytes(
            to, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Large: " +
                    std::string(header_bytes, 'x') + "\r\n\r\n");
        const std::size_t body = answer.find("\r\n\r\n");
        if (answer.starts_with("HTTP/1.1 4") && body != std::string::npos) {
            seen.status = std::stoi(answer.substr(9, 3));
            seen.body = answer.substr(body + 4);
        }
    };
    expect_rejected(after(huge));
}

Test(bad_request, a_body_beyond_the_limit_is_rejected)
{
    constexpr std::size_t body_bytes = 5'000'000;
    const auto large = [](const core::endpoint& to, bad_then_good& seen) {
        const std::string answer = exchange_bytes(
            to, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                "Connection: close\r\nX-Workspace: club\r\n"
                "X-Service-Class: answer\r\nContent-Length: " +
                    std::to_string(body_bytes) + "\r\n\r\n" +
                    std::string(body_bytes, 'x'));
        const std::size_t body = answer.find("\r\n\r\n");
        if (answer.starts_with("HTTP/1.1 4") && body != std::string::npos) {
            seen.status = std::stoi(answer.substr(9, 3));
            seen.body = answer.substr(body + 4);
        }
    };
    expect_rejected(after(large));
}

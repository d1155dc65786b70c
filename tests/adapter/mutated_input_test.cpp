// Outside input that is nearly right: sound messages with bytes changed, cut,
// doubled and moved, from fixed seeds.
#include "oriolefall/follow/store_duty.hpp"
#include "oriolefall/forward/event_splitter.hpp"
#include "platform/directory_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/route_settings_codec.hpp"
#include "platform/settings_file.hpp"
#include "platform/store_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cctype>
#include <random>
#include <string>
#include <vector>

using namespace oriolefall;

namespace {

constexpr unsigned rounds = 4000;
constexpr unsigned most_changes = 6;

/// Bytes that parsers care for.
const std::string edge_bytes =
    std::string("{}[]\",:\\/\r\n\t -+.0129eE=?&%\x7f\xff") + '\0';

std::string mutate(std::string text, std::mt19937_64& random)
{
    const auto place = [&] { return random() % (text.size() + 1); };
    for (auto left = 1 + random() % most_changes; left > 0; --left) {
        const std::size_t at = place();
        const std::size_t length = random() % 12;
        switch (random() % 5) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(random());
            break;
        case 1:
            text.insert(at, 1, edge_bytes[random() % edge_bytes.size()]);
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            text.insert(place(), text.substr(at, length));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

/// Gives `take` each sample, changed in many ways.
template <class Take>
void feed(const std::vector<std::string>& samples, Take take)
{
    std::mt19937_64 random(20261204);
    for (unsigned round = 0; round < rounds; ++round)
        take(mutate(samples[random() % samples.size()], random));
}

/// Lines that begin with `name`, in small letters.
std::size_t count_fields(std::string head, const std::string& name)
{
    std::ranges::transform(head, head.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    std::size_t found = 0;
    for (auto at = head.find("\r\n" + name); at != std::string::npos;
         at = head.find("\r\n" + name, at + 1))
        ++found;
    return found;
}

const std::vector<std::string> settings_samples{
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",
    "routeType":"streaming","timeoutMs":12000,"goalMs":2000,"priority":2,
    "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
    "maxAttempts":2,"public":false,"resumable":true,"gapTargetMs":800}],
    "services":[{"name":"s1","healthPath":"/health","maxConns":360,
    "engine":{"capacity":64,"kvCapacity":681116,"stride":3}}],
    "limits":{"headerBytes":100,"idleTimeoutMs":9000},
    "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}]})"};

const std::vector<std::string> entry_samples{
    R"({"service":"s1","address":"10.1.0.1:80","zone":"a-1","version":"v1",
    "capacity":64,"state":"ready","warmupLeftMs":0,"sequence":4,
    "born":1764800000000})"};

} // namespace

Test(mutated_input, settings_keep_their_bounds)
{
    feed(settings_samples, [](const std::string& text) {
        const auto read = platform::parse_route_settings(text);
        if (!read)
            return;
        for (const routing::route& route : read->routes) {
            cr_assert_geq(route.max_servers, 1);
            cr_assert_geq(route.request_timeout, absl::ZeroDuration());
            cr_assert_geq(route.latency_target, absl::ZeroDuration());
        }
    });
}

Test(mutated_input, server_entries_name_an_address_or_nothing)
{
    const std::map<core::failure_domain_name, core::region_name> regions{
        {core::failure_domain_name("a-1"), core::region_name("a")}};
    feed(entry_samples, [&](const std::string& text) {
        const auto read = platform::parse_server_entry("i-1", text, regions);
        if (read) {
            cr_assert_gt(read->endpoint.port, 0);
            cr_assert_not(read->service.value().empty());
            cr_assert_geq(read->warmup_left, absl::ZeroDuration());
        }
    });
}

Test(mutated_input, store_answers_are_read_or_refused)
{
    const auto protocol = platform::make_store_protocol();
    const std::vector<std::string> samples{
        R"({"items":[{"metadata":{"name":"a","revision":4,"finalizers":[]},
        "spec":{"x":1},"status":null}],"hasMore":false,"at":9})",
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a",
        "revision":4},"spec":{}}}],"at":9})"};
    const std::vector<follow::read_call> calls{
        follow::list_call{"servers", "", false},
        follow::watch_call{"servers", 4, absl::Seconds(6)}};
    feed(samples, [&](const std::string& text) {
        for (const auto& call : calls) {
            follow::store_answer answer;
            answer.status = 200;
            answer.body = text;
            const auto read = protocol.parse(call, answer);
            const auto* page = std::get_if<follow::list_page>(&read);
            if (page != nullptr && page->has_more && page->objects.empty())
                continue;
            follow::collection_follower follower({.collection = "servers"});
            follower.on_result(absl::UnixEpoch(), read);
            static_cast<void>(follower.next_call());
        }
    });
}

Test(mutated_input, members_questions_and_prompts_take_any_text)
{
    const membership::member sample = [] {
        membership::member made;
        made.caller_endpoint = {"10.1.0.1", 80};
        made.peer_endpoint = {"10.1.0.1", 81};
        return made;
    }();
    feed({platform::print_member(sample)}, [](const std::string& text) {
        follow::stored_object object;
        object.name = "a";
        object.value = text;
        static_cast<void>(platform::parse_member(object));
    });
    feed({"/resolve?name=h.example&region=a&zone=a-1", "/ready", "/metrics"},
         [](const std::string& text) {
             static_cast<void>(platform::parse_page_request(text));
         });
    feed({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
         [](const std::string& text) {
             const auto parts = platform::parse_prompt(text);
             const auto commas =
                 static_cast<std::size_t>(std::ranges::count(text, ','));
             cr_assert_leq(parts.size(), commas + 1);
         });
    feed({"nodeName=a\nzones.a-1=a\nlisten.front=10.1.0.40:8227\n"},
         [](const std::string& text) {
             static_cast<void>(platform::parse_settings_file(text));
         });
}

Test(mutated_input, requests_and_answers_keep_the_systems_own_fields)
{
    const auto protocol = platform::make_request_protocol();
    const std::vector<std::string> samples{
        "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
        "Oriolefall-Attempt-Id: 9c41\r\nOriolefall-Deadline-Ms: 800\r\n"
        "Oriolefall-Prompt-Prefix: 5c:800,91:410\r\nConnection: close, X-A\r\n"
        "Oriolefall-Tenant: somebody\r\nX-A: 1\r\nContent-Length: 0\r\n\r\n"};
    feed(samples, [&](const std::string& text) {
        http::request_parser<http::string_body> parser;
        parser.eager(true);
        error_code error;
        parser.put(asio::buffer(text), error);
        if (!parser.is_done())
            return;
        const http::request<http::string_body> request = parser.release();
        static_cast<void>(protocol.read_request(request));
        dispatch::send_call order;
        order.server = core::backend_server_id("i-1");
        order.workspace = core::workspace_id("own");
        const std::string head = protocol.write_request(request, order, {});
        // One line each, and none of the caller's.
        cr_assert(head.ends_with("\r\n\r\n"));
        cr_assert_eq(head.find("\r\n\r\n"), head.size() - 4);
        cr_assert_eq(count_fields(head, "oriolefall-tenant:"), 1);
        cr_assert_neq(head.find("\r\nOriolefall-Tenant: own\r\n"),
                      std::string::npos);
        cr_assert_eq(count_fields(head, "authorization:"), 0);
        cr_assert_eq(count_fields(head, "oriolefall-expect-instance:"), 1);
    });
}

Test(mutated_input, a_splitter_gives_whole_events_of_what_it_took)
{
    std::string stream;
    for (int id = 1; id <= 12; ++id)
        stream += "id: " + std::to_string(id) + "\ndata: x\n\n";
    std::mt19937_64 pieces(7);
    feed({stream}, [&](const std::string& text) {
        forward::event_splitter splitter;
        std::string given;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t size = 1 + pieces() % 40;
            const auto split =
                splitter.feed(std::string_view(text).substr(at, size));
            given += split.events;
            if (split.fault)
                break;
            at += size;
        }
        cr_assert_leq(given.size(), text.size());
        cr_assert(given.empty() || given.back() == '\n' ||
                  given.back() == '\r');
    });
}

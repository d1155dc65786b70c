#include "platform/directory_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/route_settings_codec.hpp"
#include "platform/settings_file.hpp"
#include "platform/store_codec.hpp"

#include <rapidcheck.h>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::platform;

namespace {

const std::map<core::failure_domain_name, core::region_name> regions{
    {core::failure_domain_name("riga-a"), core::region_name("riga")}};

const std::string settings_text = R"(nodeName=edge-riga-a-1
zone=riga-a
region=riga
zones.riga-a=riga
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
listen.control=10.1.0.40:8229
listen.directory=10.1.0.40:8224
seeds=10.1.0.40:8229,10.2.0.29:8229
provider.address=10.200.1.7:8223
bounds.retryRatio=0.2
bounds.graceS=8
something.new=1
)";

const std::string server_text =
    R"({"service":"s1","address":"10.1.0.9:80","zone":"riga-a","capacity":64,
        "state":"ready","warmupLeftMs":1500,"sequence":4,"born":77})";

std::string with(std::string text, const std::string& from,
                 const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

forward::request_head some_head()
{
    forward::request_head head;
    head.method(http::verb::post);
    head.target("/a/b?c=d");
    head.version(11);
    head.set("Host", "h.example");
    head.set("Oriolefall-Attempt-Id", "id-1");
    head.set("Oriolefall-Deadline-Ms", "8000");
    head.set("Oriolefall-Prompt-Prefix", "5c:800,9f:410");
    head.set("Oriolefall-Token-Count", "1210,80");
    head.set("Authorization", "Bearer secret");
    head.set("X-Other", "kept");
    return head;
}

std::string written(const forward::request_head& head,
                    const forward::call_additions& additions = {})
{
    dispatch::send_call order;
    order.server = core::backend_server_id("i-7");
    order.workspace = core::workspace_id("club");
    order.priority = 3;
    return make_request_protocol().write_request(head, order, additions);
}

bool has_line(const std::string& text, const std::string& line)
{
    return text.find("\r\n" + line + "\r\n") != std::string::npos;
}

} // namespace

Test(settings_file, reads_what_it_knows_and_passes_over_the_rest)
{
    const auto read = parse_settings_file(settings_text);
    const auto& settings = std::get<process_settings>(read);
    cr_assert_eq(settings.instance.value(), "edge-riga-a-1");
    cr_assert_eq(settings.caller_endpoint.port, 8227);
    cr_assert_eq(settings.seeds.size(), 2);
    cr_assert_eq(settings.retry_budget.ratio, 0.2);
    cr_assert_eq(settings.shutdown_timeout, absl::Seconds(8));
}

Test(settings_file, names_the_line_of_each_fault)
{
    const auto read = parse_settings_file(
        with(with(settings_text, "10.1.0.40:8220", "nowhere"), "region=riga",
             "other=1"));
    const auto& faults = std::get<std::vector<settings_fault>>(read);
    cr_assert_eq(faults.size(), 2);
    cr_assert_eq(faults[0].line, 0);
    cr_assert_eq(faults[1].line, 6);
}

// An infinite or huge number overflowed the clocks, or the type of a count.
Test(settings_file, numbers_beyond_their_range_are_faults)
{
    for (const char* number : {"inf", "1e300", "1e10", "-1", "nan"}) {
        const auto read =
            parse_settings_file(with(settings_text, "bounds.graceS=8",
                                     "bounds.graceS=" + std::string(number)));
        const auto* faults = std::get_if<std::vector<settings_fault>>(&read);
        cr_assert(faults != nullptr, "%s", number);
        cr_assert_eq(faults->size(), 1);
    }
}

Test(settings_file, takes_any_text)
{
    cr_assert(rc::check([](const std::string& text) {
        static_cast<void>(parse_settings_file(text));
    }));
}

Test(route_settings, reads_routes_services_limits_and_workspaces)
{
    const auto read = parse_route_settings(
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",
        "routeType":"streaming","timeoutMs":12000,"goalMs":2000,"priority":2,
        "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
        "maxAttempts":2,"public":false,"resumable":true,"gapTargetMs":800},
        {"name":"q","host":"h","pathPrefix":"/b/","routeType":"safe",
        "service":"s2"}],"services":[{"name":"s1","healthPath":"/health",
        "maxConns":360,"engine":{"capacity":64,"kvCapacity":681116,"stride":3}}],
        "limits":{"headerBytes":100,"idleTimeoutMs":9000},
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}]})");
    cr_assert(read.has_value());
    const routing::route& stream = read->routes[0];
    cr_assert(stream.is_stream && stream.is_resumable && !stream.is_idempotent);
    cr_assert_eq(stream.targets.size(), 2);
    cr_assert_eq(stream.targets[0].weight, 90);
    cr_assert_eq(stream.max_servers, 2);
    cr_assert_eq(stream.gap_target, absl::Milliseconds(800));
    cr_assert(read->routes[1].is_idempotent);
    cr_assert_eq(read->services[0].engine->kv_cache_tokens, 681116);
    cr_assert_eq(read->limits.max_header_bytes, 100);
    cr_assert_eq(read->limits.idle_timeout, absl::Seconds(9));
    cr_assert_eq(read->workspaces[0].api_keys.size(), 2);
    cr_assert_eq(*read->workspaces[0].priority, 1);
}

Test(route_settings, without_a_version_they_are_not_taken)
{
    cr_assert_not(parse_route_settings("{}").has_value());
    cr_assert_not(parse_route_settings("[1").has_value());
    cr_assert_not(parse_route_settings(R"({"version":"7"})").has_value());
}

Test(server_entry, reads_a_server)
{
    const auto entry = parse_server_entry("i-1", server_text, regions);
    cr_assert(entry.has_value());
    cr_assert_eq(entry->location.region.value(), "riga");
    cr_assert_eq(entry->slots, 64);
    cr_assert_eq(entry->started_at_ms, 77);
    cr_assert_not(entry->is_draining);
    cr_assert(parse_server_entry("i-1",
                                 with(server_text, "\"ready\"", "\"draining\""),
                                 regions)
                  ->is_draining);
}

Test(server_entry, one_that_is_not_whole_names_no_server)
{
    const std::vector<std::pair<std::string, std::string>> faults{
        {"\"service\":\"s1\"", "\"service\":5"},
        {"\"address\":\"10.1.0.9:80\"", "\"address\":\"somewhere\""},
        {"\"capacity\":64", "\"capacity\":\"64\""},
        {"\"state\":\"ready\"", "\"state\":\"resting\""},
        {"\"born\":77", "\"born\":7.5"},
        {"\"zone\":\"riga-a\",", ""}};
    for (const auto& [from, to] : faults)
        cr_assert_not(
            parse_server_entry("i", with(server_text, from, to), regions)
                .has_value(),
            "%s", to.c_str());
    cr_assert_not(parse_server_entry("i", "\xff{", regions).has_value());
    cr_assert_not(parse_server_entry("i", "", regions).has_value());
}

namespace {

/// Names that can't be sent in a header field as they are, or not to good end.
const std::vector<std::string> unusable_ids{"",      " i-1",
                                            "i-1\t", "i-1\r\nX-Odd: 1",
                                            "i\n1",  std::string("i\0x", 3),
                                            "i\x7f", std::string(1025, 'i')};

} // namespace

// The id of the server goes into the head of each call: a line end in the name
// of another writer's entry began a header field, or the next request.
Test(server_entry, a_name_that_no_header_field_can_hold_names_no_server)
{
    for (const std::string& id : unusable_ids)
        cr_assert_not(parse_server_entry(id, server_text, regions).has_value(),
                      "%s", id.c_str());
    for (const std::string& id :
         {std::string("i-1"), std::string("i 1"), std::string("a&b+%7E"),
          std::string("\u00e9"), std::string(1024, 'i')})
        cr_assert(parse_server_entry(id, server_text, regions).has_value(),
                  "%s", id.c_str());
}

Test(route_settings, a_workspace_that_no_header_field_can_name_is_left_out)
{
    const auto read = parse_route_settings(
        R"({"version":7,"tenants":[{"name":"a\r\nX-Odd: 1","apiKeys":["k1"]},
        {"name":"b","apiKeys":["k2"]}]})");
    cr_assert_eq(read->workspaces.size(), 1);
    cr_assert_eq(read->workspaces[0].name.value(), "b");
}

Test(requests, read_what_decisions_need)
{
    const auto arrival = make_request_protocol().read_request(some_head());
    cr_assert_eq(arrival.host, "h.example");
    cr_assert_eq(arrival.path, "/a/b");
    cr_assert_eq(arrival.api_key, "secret");
    cr_assert_eq(arrival.caller_timeout, absl::Seconds(8));
    cr_assert_eq(arrival.prompt.size(), 2);
    cr_assert_eq(arrival.prompt[0].id, 0x5c);
    cr_assert_eq(arrival.prompt[1].tokens, 410);
}

Test(requests, go_on_with_the_systems_own_fields_in_place_of_the_callers)
{
    auto head = some_head();
    for (const std::string name :
         {"Oriolefall-Tenant", "Oriolefall-Expect-Instance", "Oriolefall-Hold",
          "Oriolefall-Pin-Ms", "Oriolefall-Kv-Backup", "Kv-From", "Kv-Fetch",
          "Oriolefall-Request-Priority", "Oriolefall-Expect-Version"})
        head.set(name, "forged");
    const std::string text = written(head, {absl::Milliseconds(7100), 42, ""});
    cr_assert(text.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
    cr_assert(text.find("forged") == std::string::npos);
    cr_assert(text.find("secret") == std::string::npos);
    cr_assert(has_line(text, "Oriolefall-Tenant: club"));
    cr_assert(has_line(text, "Oriolefall-Expect-Instance: i-7"));
    cr_assert(has_line(text, "Oriolefall-Request-Priority: 3"));
    cr_assert(has_line(text, "Oriolefall-Deadline-Ms: 7100"));
    cr_assert(has_line(text, "Oriolefall-Attempt-Id: id-1"));
    cr_assert(has_line(text, "Oriolefall-Prompt-Prefix: 5c:800,9f:410"));
    cr_assert(has_line(text, "X-Other: kept"));
    cr_assert(has_line(text, "Content-Length: 42"));
}

Test(requests, fields_of_the_connection_end_here_but_never_the_systems_own)
{
    auto head = some_head();
    head.set("Connection", "close, X-Other, Oriolefall-Attempt-Id");
    head.set("Keep-Alive", "timeout=5");
    head.set("Transfer-Encoding", "chunked");
    const std::string text = written(head);
    cr_assert(text.find("X-Other") == std::string::npos);
    cr_assert(text.find("Keep-Alive") == std::string::npos);
    cr_assert(text.find("Transfer-Encoding") == std::string::npos);
    cr_assert(has_line(text, "Oriolefall-Attempt-Id: id-1"));
}

Test(requests, a_stream_goes_on_after_the_last_event_that_the_caller_has)
{
    auto head = some_head();
    head.set("Last-Event-Id", "12");
    cr_assert(has_line(written(head), "Last-Event-Id: 12"));
    const std::string resumed = written(head, {absl::Seconds(1), 0, "15"});
    cr_assert(has_line(resumed, "Last-Event-Id: 15"));
    cr_assert(resumed.find("12\r\n") == std::string::npos);
}

Test(answers, tell_their_request_signature_and_load)
{
    forward::answer_head head;
    head.result(200);
    head.set("Oriolefall-Attempt-Id", "id-1");
    head.set("Oriolefall-Server-Seal", "s");
    head.set("Oriolefall-Server-Load", "3,1,8");
    const auto protocol = make_request_protocol();
    auto facts = protocol.read_answer(some_head(), head);
    cr_assert(facts.addressed_to == forward::addressee::this_request &&
              facts.is_signed);
    cr_assert_not(facts.not_run);
    cr_assert(*facts.notice.load == (dispatch::server_load{3, 1, 8}));
    head.set("Oriolefall-Attempt-Id", "id-0");
    head.set("Oriolefall-Not-Executed", "1");
    head.result(421);
    facts = protocol.read_answer(some_head(), head);
    cr_assert(facts.addressed_to == forward::addressee::another_request &&
              facts.not_run && facts.wrong_server);
}

Test(answers, name_a_limit_that_is_a_plain_number_and_nothing_else)
{
    const auto protocol = make_request_protocol();
    const auto notice_of = [&protocol](const std::string& value) {
        forward::answer_head head;
        head.result(200);
        head.set("server-limit", value);
        return protocol.read_answer(some_head(), head).notice;
    };
    cr_assert_eq(*notice_of("1.25").rate_limit, 1.25);
    cr_assert_eq(*notice_of("0").rate_limit, 0);
    for (const std::string bad :
         {"", "many", "-1", "nan", "inf", "1,2", "1e999"}) {
        const auto notice = notice_of(bad);
        cr_assert(!notice.rate_limit && notice.is_rate_limit_invalid);
    }
    forward::answer_head twice;
    twice.result(503);
    twice.insert("Server-Limit", "1");
    twice.insert("Server-Limit", "2");
    const auto notice = protocol.read_answer(some_head(), twice).notice;
    cr_assert(!notice.rate_limit && notice.is_rate_limit_invalid);
    cr_assert_not(
        protocol.read_answer(some_head(), {}).notice.is_rate_limit_invalid);
}

Test(answers, say_that_their_server_leaves_or_wants_nothing_for_a_time)
{
    const auto protocol = make_request_protocol();
    const auto notice_of = [&protocol](int status, const std::string& name,
                                       const std::string& value) {
        forward::answer_head head;
        head.result(static_cast<unsigned>(status));
        head.set(name, value);
        return protocol.read_answer(some_head(), head).notice;
    };
    cr_assert(notice_of(200, "server-leaving", "1").is_leaving);
    for (const std::string other : {"0", "", "yes", "11"})
        cr_assert_not(notice_of(200, "Server-Leaving", other).is_leaving);
    cr_assert(*notice_of(503, "retry-after", "2.5").quiet_time ==
              absl::Milliseconds(2500));
    cr_assert(*notice_of(503, "Retry-After", "1e300").quiet_time ==
              absl::Hours(24));
    cr_assert_not(notice_of(429, "Retry-After", "2").quiet_time.has_value());
    for (const std::string bad :
         {"", "-1", "soon", "nan", "Fri, 04 Dec 2026 22:00:00 GMT"}) {
        const auto notice = notice_of(503, "Retry-After", bad);
        cr_assert(!notice.quiet_time && notice.is_quiet_time_invalid);
    }
}

Test(prompts, any_text_gives_a_list)
{
    cr_assert(rc::check([](const std::string& text) {
        static_cast<void>(parse_prompt(text));
    }));
    cr_assert_eq(parse_prompt("5c:1,zz:2,9f:3").size(), 1);
}

Test(directory, questions_are_told_apart)
{
    cr_assert(std::holds_alternative<router::readiness_request>(
        parse_page_request("/ready")));
    const auto asked = std::get<router::address_request>(
        parse_page_request("/resolve?name=a&region=riga&zone=riga-a"));
    cr_assert_eq(asked.caller.region.value(), "riga");
    cr_assert_eq(asked.caller.failure_domain.value(), "riga-a");
    cr_assert(std::holds_alternative<router::unknown_request>(
        parse_page_request("/other")));
    cr_assert_eq(print_addresses({{"10.1.0.1", 80}}, absl::Seconds(2)),
                 R"({"addresses":["10.1.0.1:80"],"ttlS":2.0})");
}

// A caller whose region has a blank or a letter beyond ASCII in its name was
// sent to any region.
Test(directory, the_query_of_callers_is_decoded)
{
    const auto place_of = [](const std::string& target) {
        return std::get<router::address_request>(parse_page_request(target))
            .caller;
    };
    const auto escaped = place_of(
        "/resolve?name=a&region=new%20riga&zone=riga%2Da%26b%2B%C3%A9");
    cr_assert_eq(escaped.region.value(), "new riga");
    cr_assert_eq(escaped.failure_domain.value(), "riga-a&b+\u00e9");
    cr_assert_eq(place_of("/resolve?region=new+riga").region.value(),
                 "new riga");
    for (const char* odd : {"%", "%zz", "%7", "100%"})
        cr_assert_eq(
            place_of(std::string("/resolve?region=") + odd).region.value(),
            odd);
}

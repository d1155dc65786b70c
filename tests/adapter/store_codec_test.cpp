#include "platform/store_codec.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::platform;

Test(store, calls_are_written_as_the_store_reads_them)
{
    const auto protocol = make_store_protocol();
    cr_assert_eq(protocol.target(follow::list_call{"servers", "i-7", false}),
                 "/objects/servers?after=i-7");
    cr_assert_eq(protocol.target(follow::list_call{"servers", "", true}),
                 "/objects/servers?staleOk=1");
    cr_assert_eq(
        protocol.target(follow::watch_call{"config", 530, absl::Seconds(2)}),
        "/objects/config?watchFromRev=530&waitMs=2000");
}

Test(store, answers_are_read_as_pages_changes_or_failures)
{
    const auto protocol = make_store_protocol();
    const follow::list_call list{"servers", "", false};
    const follow::watch_call watch{"servers", 1, absl::Seconds(1)};
    const auto page = std::get<follow::list_page>(protocol.parse(
        list, {200, R"({"items":[{"metadata":{"name":"i-1","revision":5},
                        "spec":{"a":1}},{"metadata":7}],
                        "hasMore":true,"at":530})"}));
    cr_assert_eq(page.objects.size(), 1);
    cr_assert_eq(page.objects[0].revision, 5);
    cr_assert_eq(page.objects[0].value, R"({"a":1})");
    cr_assert(page.has_more);
    cr_assert_eq(page.revision, 530);
    const auto changes = std::get<follow::change_list>(
        protocol.parse(watch, {200, R"({"events":[{"deleted":true,"object":
                         {"metadata":{"name":"i-1","revision":6}}}],"at":531})"}));
    cr_assert(changes.changes[0].is_deleted);
    cr_assert(std::holds_alternative<follow::history_gone>(
        protocol.parse(watch, {410, ""})));
    for (const unsigned status : {429U, 500U, 503U})
        cr_assert(std::holds_alternative<follow::call_failed>(
            protocol.parse(watch, {status, "{}"})));
    cr_assert(std::holds_alternative<follow::call_failed>(
        protocol.parse(list, {200, "[]"})));
}

namespace {

/// The text of an object of the store, and of a list and a watch that hold it
/// between two sound ones.
std::string object_text(const std::string& name, const std::string& value)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":5},"spec":)" +
           value + "}";
}

std::vector<follow::stored_object> read_list_with(const std::string& value)
{
    const auto read = make_store_protocol().parse(
        follow::list_call{"servers", "", false},
        {200, R"({"items":[)" + object_text("a", "1") + "," +
                  object_text("b", value) + "," + object_text("c", "3") +
                  R"(],"hasMore":true,"at":9})"});
    const auto page = std::get<follow::list_page>(read);
    cr_assert_eq(page.revision, 9);
    cr_assert(page.has_more);
    return page.objects;
}

std::vector<follow::object_change> read_watch_with(const std::string& value)
{
    const auto event = [](const std::string& object) {
        return R"({"deleted":false,"object":)" + object + "}";
    };
    const auto read = make_store_protocol().parse(
        follow::watch_call{"servers", 1, absl::Seconds(1)},
        {200, R"({"events":[)" + event(object_text("a", "1")) + "," +
                  event(object_text("b", value)) + "," +
                  event(object_text("c", "3")) + R"(],"at":9})"});
    return std::get<follow::change_list>(read).changes;
}

} // namespace

// review/2: an entry that was nested 200,000 deep overflowed the stack of each
// instance, and again after each start.
Test(store, a_deeply_nested_value_is_no_value)
{
    const std::string nested =
        std::string(200000, '[') + std::string(200000, ']');
    const auto objects = read_list_with(R"({"address":)" + nested + "}");
    cr_assert_eq(objects.size(), 3);
    cr_assert_eq(objects[1].name, "b");
    cr_assert_eq(objects[1].value, "");
    cr_assert_eq(read_watch_with(nested).at(1).object.value, "");
    cr_assert_not(parse_member({"b", 5, nested}).has_value());
}

// review/3: one such value made the whole list, and each watch, unreadable, so
// that no change of any server was learned any more.
Test(store, one_unreadable_value_hides_no_other_object)
{
    for (const char* value :
         {R"({"version":"v\ud800"})", R"({"capacity":1e400})",
          "{\"a\":\"\xff\"}", "{\"a\":01}", "{\"a\":\"\x01\"}", R"({"a" 1})",
          "nul"}) {
        const auto objects = read_list_with(value);
        cr_assert_eq(objects.size(), 3, "%s", value);
        cr_assert_eq(objects[0].value, "1");
        cr_assert_eq(objects[1].value, "");
        cr_assert_eq(objects[2].value, "3");
        const auto changes = read_watch_with(value);
        cr_assert_eq(changes.size(), 3, "%s", value);
        cr_assert_eq(changes[1].object.revision, 5);
        cr_assert_eq(changes[1].object.value, "");
        cr_assert_eq(changes[2].object.value, "3");
    }
}

Test(store, answers_of_any_status_name_the_epoch)
{
    const auto protocol = make_store_protocol();
    follow::store_answer answer{503, "", {}};
    cr_assert_eq(protocol.epoch(answer), std::nullopt);
    for (const char* bad : {"", "x", "-1", "1.5", "99999999999999999999"}) {
        answer.header.set("Store-Era", bad);
        cr_assert_eq(protocol.epoch(answer), std::nullopt);
    }
    answer.header.set("store-era", "7");
    cr_assert_eq(protocol.epoch(answer), 7);
}

Test(store, a_path_check_and_a_stale_list_ask_for_answers_that_cost_little)
{
    const auto protocol = make_store_protocol();
    const auto check = protocol.check_path("instances", "edge-1");
    cr_assert(check.method == http::verb::get);
    cr_assert_eq(check.target, "/objects/instances/edge-1?staleOk=1");
    cr_assert_eq(protocol.target(follow::list_call{"servers", "", true}),
                 "/objects/servers?staleOk=1");
    cr_assert_eq(protocol.target(follow::list_call{"servers", "", false}),
                 "/objects/servers");
}

// What an instance writes is the same at each start, so that it needs no new
// write where it is listed.
Test(store, the_object_of_an_instance_does_not_change_with_its_incarnation)
{
    membership::member member;
    member.incarnation = 1;
    const std::string first = print_member(member);
    member.incarnation = 2;
    cr_assert_eq(print_member(member), first);
}

Test(store, an_instance_that_is_written_is_read_back)
{
    membership::member member;
    member.id = core::instance_id("edge-1");
    member.caller_endpoint = {"10.1.0.1", 8000};
    member.peer_endpoint = {"10.1.0.1", 8001};
    member.location = {core::region_name("riga"),
                       core::failure_domain_name("riga-a")};
    const auto read = parse_member({"edge-1", 1, print_member(member)});
    cr_assert(read.has_value());
    cr_assert(*read == member);
    cr_assert_not(parse_member({"edge-1", 1, "{}"}).has_value());
}

// One member of the metadata that can't be read took the name with it: a page
// of such an entry named nothing to go on from, so the list never ended.
Test(store, metadata_of_another_writer_hide_no_name)
{
    for (const char* finalizers :
         {R"(["\ud800"])", "[1e400]", "[\"\xff\"]", "[nul]"}) {
        const auto read = make_store_protocol().parse(
            follow::list_call{"servers", "", false},
            {200, R"({"items":[{"metadata":{"finalizers":)" +
                      std::string(finalizers) +
                      R"(,"name":"a","revision":5},"spec":1}],)"
                      R"("hasMore":true,"at":9})"});
        const auto page = std::get<follow::list_page>(read);
        cr_assert_eq(page.objects.size(), 1, "%s", finalizers);
        cr_assert_eq(page.objects[0].name, "a");
        cr_assert_eq(page.objects[0].revision, 5);
        cr_assert_eq(page.objects[0].value, "1");
    }
}

// Two entries of a megabyte left no view of the servers small enough for peers,
// so that each instance of a large fleet called the store itself.
Test(store, an_entry_that_is_too_long_has_no_value)
{
    const auto value_sizes = [](const std::string& collection,
                                std::size_t bytes) {
        const std::string value = '"' + std::string(bytes - 2, 'x') + '"';
        const auto protocol = make_store_protocol();
        const auto page = std::get<follow::list_page>(
            protocol.parse(follow::list_call{collection, "", false},
                           {200, R"({"items":[)" + object_text("a", value) +
                                     R"(],"hasMore":false,"at":9})"}));
        const auto changes = std::get<follow::change_list>(protocol.parse(
            follow::watch_call{collection, 1, absl::Seconds(1)},
            {200, R"({"events":[{"deleted":false,"object":)" +
                      object_text("a", value) + R"(}],"at":9})"}));
        return std::pair(page.objects.at(0).value.size(),
                         changes.changes.at(0).object.value.size());
    };
    constexpr std::size_t limit = std::size_t{64} * 1024;
    using sizes = std::pair<std::size_t, std::size_t>;
    for (const char* collection : {"servers", "oriolefall-instances"}) {
        cr_assert(value_sizes(collection, limit) == sizes(limit, limit));
        cr_assert(value_sizes(collection, limit + 1) == sizes(0, 0));
    }
    // Settings are as long as the store allows.
    constexpr std::size_t megabyte = std::size_t{1} << 20;
    cr_assert(value_sizes("config", megabyte) == sizes(megabyte, megabyte));
}

Test(store, a_name_is_one_segment_of_a_path)
{
    const auto protocol = make_store_protocol();
    const std::string name = "a/b?c#d e%7E";
    const std::string path = "/objects/instances/a%2Fb%3Fc%23d%20e%257E";
    cr_assert_eq(protocol.remove("instances", name).target, path);
    cr_assert_eq(protocol.check_path("instances", name).target,
                 path + "?staleOk=1");
    cr_assert_eq(protocol.put("instances", name, "{}").at(1).target, path);
}

// A name is data: what it holds must not end the parameter or begin another.
Test(store, a_name_is_escaped_in_a_query)
{
    const auto protocol = make_store_protocol();
    const auto target = [&protocol](const std::string& after) {
        return protocol.target(follow::list_call{"servers", after, true});
    };
    cr_assert_eq(target("a&b+c#d e%7E"),
                 "/objects/servers?after=a%26b%2Bc%23d%20e%257E&staleOk=1");
    cr_assert_eq(target("\r\n\x01\xc3\xa9"),
                 "/objects/servers?after=%0D%0A%01%C3%A9&staleOk=1");
    cr_assert_eq(target("edge-1_a.b~c"),
                 "/objects/servers?after=edge-1_a.b~c&staleOk=1");
}

// The ids of instances go into messages of peers, log lines and calls.
Test(store, a_name_that_is_no_id_names_no_instance)
{
    membership::member member;
    member.caller_endpoint = {"10.1.0.1", 8000};
    member.peer_endpoint = {"10.1.0.1", 8001};
    const std::string value = print_member(member);
    cr_assert(parse_member({"edge&1", 1, value}).has_value());
    for (const std::string& name :
         {std::string(), std::string("a\r\nb"), std::string(1025, 'a')})
        cr_assert_not(parse_member({name, 1, value}).has_value(), "%s",
                      name.c_str());
}

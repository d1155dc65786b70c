#include "tests/objects/platform_fixture.hpp"

#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using objects::always;
using objects::conflict;
using objects::failure;
using objects::if_absent;
using objects::if_version;
using objects::unavailable;
using objects::unknown_outcome;
using objects::written;
using tests::platform_fixture;

namespace {

constexpr const char* path = "/teams/t/x";

std::uint64_t version_of(const objects::write_result& result)
{
    const auto* done = std::get_if<written>(&result);
    cr_assert_not_null(done, "not written, alternative %zu", result.index());
    return done->version;
}

std::string value_at(objects::client& client, const std::string& at)
{
    const auto result = client.read(at);
    const auto* object = std::get_if<objects::stored_object>(&result);
    return object == nullptr ? "" : object->value;
}

} // namespace

Test(platform_client, reads_what_was_written_without_its_own_keys)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const auto version =
        version_of(client.put(path, R"({"a":1})", if_absent{}));
    const auto object = std::get<objects::stored_object>(client.read(path));
    cr_assert_eq(object.path, path);
    cr_assert_eq(object.version, version);
    cr_assert_eq(object.value, R"({"a":1})");
    cr_assert(object.write_id.starts_with("writer1-"));
    cr_assert(object.replaced_version == 0);
}

Test(platform_client, conditions_hold)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const auto first = version_of(client.put(path, "{}", if_absent{}));
    cr_assert(client.put(path, "{}", if_absent{}) ==
              objects::write_result(conflict{first}));
    const auto second =
        version_of(client.put(path, R"({"b":2})", if_version{first}));
    cr_assert(client.put(path, "{}", if_version{first}) ==
              objects::write_result(conflict{second}));
    cr_assert(client.remove(path, if_version{first}) ==
              objects::write_result(conflict{second}));
    cr_assert(std::holds_alternative<written>(
        client.remove(path, if_version{second})));
    cr_assert(std::holds_alternative<objects::not_found>(client.read(path)));
}

Test(platform_client, refuses_values_and_paths_that_are_not_allowed)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    for (const char* value : {"[]", "1", "{", R"({"write_id":"x"})"})
        cr_assert(std::holds_alternative<objects::rejected>(
            client.put(path, value, always{})));
    cr_assert(std::holds_alternative<objects::rejected>(
        client.put("/a b", "{}", always{})));
}

Test(platform_client, a_value_beyond_a_megabyte_is_rejected)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const std::string value =
        core::concat(R"({"a":")", std::string(1100000, 'x'), "\"}");
    cr_assert(std::holds_alternative<objects::rejected>(
        client.put(path, value, always{})));
}

Test(platform_client, a_lost_answer_is_resolved_by_the_write_id)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    platform.set_faults(R"({"lose_answers":1})");
    const auto created = version_of(client.put(path, "{}", if_absent{}));
    platform.set_faults(R"({"lose_answers":1})");
    const auto replaced =
        version_of(client.put(path, R"({"b":2})", if_version{created}));
    cr_assert_gt(replaced, created);
    cr_assert_eq(value_at(client, path), R"({"b":2})");
    platform.set_faults(R"({"lose_answers":1})");
    cr_assert(std::holds_alternative<written>(
        client.remove(path, if_version{replaced})));
}

Test(platform_client, a_lost_answer_with_stale_reads_is_not_told_as_conflict)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const auto created = version_of(client.put(path, "{}", if_absent{}));
    platform.set_faults(R"({"lose_answers":1,"stale_reads":true})");
    const auto result = client.put(path, R"({"b":2})", if_version{created});
    cr_assert(std::holds_alternative<unknown_outcome>(result));
    platform.set_faults(R"({"stale_reads":false})");
    cr_assert_eq(value_at(client, path), R"({"b":2})");
}

Test(platform_client, a_lost_answer_to_an_unconditional_write_is_repeated)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    platform.set_faults(R"({"lose_answers":2,"stale_reads":true})");
    cr_assert(std::holds_alternative<written>(
        client.put(path, R"({"c":3})", always{})));
    platform.set_faults(R"({"stale_reads":false})");
    cr_assert_eq(value_at(client, path), R"({"c":3})");
}

Test(platform_client, an_outage_is_unavailable_and_writes_nothing)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    platform.set_faults(R"({"outage":true})");
    cr_assert(std::get<unavailable>(client.read(path)).cause ==
              failure::outage);
    cr_assert(std::get<unavailable>(client.put(path, "{}", always{})).cause ==
              failure::outage);
    cr_assert(std::holds_alternative<unavailable>(client.list("/teams/")));
    cr_assert(std::holds_alternative<unavailable>(client.instances()));
    platform.set_faults(R"({"outage":false})");
    cr_assert(std::holds_alternative<objects::not_found>(client.read(path)));
}

Test(platform_client, the_rate_limit_is_told)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    platform.set_faults(R"({"rate_per_s":0.001})");
    objects::read_result last = client.read(path);
    for (int i = 0; i < 4; ++i)
        last = client.read(path);
    cr_assert(std::get<unavailable>(last).cause == failure::rate_limited);
}

Test(platform_client, no_listener_is_connect_failed)
{
    objects::client_settings settings;
    settings.endpoint = {"127.0.0.1", 1};
    settings.backoff = {absl::Milliseconds(1), absl::Milliseconds(2)};
    objects::client client(settings);
    cr_assert(std::get<unavailable>(client.put(path, "{}", always{})).cause ==
              failure::connect_failed);
}

Test(platform_client, each_call_is_noted)
{
    platform_fixture platform;
    std::vector<objects::call_noted> notes;
    auto settings = platform.settings();
    settings.note = [&](const auto& noted) { notes.push_back(noted); };
    objects::client client(settings);
    platform.set_faults(R"({"lose_answers":1})");
    version_of(client.put(path, "{}", if_absent{}));
    const std::vector<objects::call_noted> expected{
        {objects::call_type::write, failure::no_answer},
        {objects::call_type::read_back, std::nullopt}};
    cr_assert(notes == expected);
}

Test(platform_client, watches_tell_changes_in_order)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const auto first = version_of(client.put(path, "{}", if_absent{}));
    const auto second =
        version_of(client.put(path, R"({"a":1})", if_version{first}));
    version_of(client.remove(path, if_version{second}));
    const auto changes = std::get<objects::object_changes>(
        client.watch("/teams/", first, absl::Seconds(5)));
    cr_assert_eq(changes.changes.size(), 2);
    cr_assert_eq(changes.changes[0].object->value, R"({"a":1})");
    cr_assert_not(changes.changes[1].object.has_value());
    const auto none = std::get<objects::object_changes>(
        client.watch("/teams/", changes.revision, absl::Milliseconds(20)));
    cr_assert(none.changes.empty());
}

Test(platform_client, a_silent_watch_is_found_by_time)
{
    platform_fixture platform;
    auto settings = platform.settings();
    settings.watch_grace = absl::Milliseconds(50);
    objects::client client(settings);
    platform.set_faults(R"({"silent_watch":true})");
    cr_assert(std::holds_alternative<objects::watch_silent>(
        client.watch("/teams/", 0, absl::Milliseconds(50))));
    platform.set_faults(R"({"silent_watch":false})");
    cr_assert(std::holds_alternative<objects::object_changes>(
        client.watch("/teams/", 0, absl::Milliseconds(50))));
}

Test(platform_client, a_watch_from_forgotten_changes_says_so)
{
    platform_fixture platform(2);
    objects::client client(platform.settings());
    for (int i = 0; i < 5; ++i)
        version_of(client.put(path, "{}", always{}));
    cr_assert(std::holds_alternative<objects::history_gone>(
        client.watch("/teams/", 1, absl::Seconds(1))));
}

Test(platform_client, instances_are_listed_as_announced)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const objects::listed_instance self{
        core::instance_id("i-1"),
        {"127.0.0.1", 8080},
        8081,
        {core::region_name("r"), core::failure_domain_name("r-1")},
        true};
    cr_assert(std::holds_alternative<written>(client.announce(self)));
    const auto list =
        std::get<std::vector<objects::listed_instance>>(client.instances());
    cr_assert(list == std::vector{self});
}

Test(platform_client, stop_ends_a_watch)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    std::thread stopper([&] { client.stop(); });
    const auto result = client.watch("/teams/", 0, absl::Minutes(10));
    stopper.join();
    cr_assert_not(std::holds_alternative<objects::object_changes>(result));
    cr_assert(std::get<unavailable>(client.read(path)).cause ==
              failure::stopped);
}

Test(platform_client, clients_of_one_name_have_write_ids_of_their_own)
{
    platform_fixture platform;
    const objects::client_settings settings = platform.settings();
    objects::client first(settings);
    objects::client second(settings);
    version_of(first.put("/teams/t/a", "{}", if_absent{}));
    version_of(second.put("/teams/t/b", "{}", if_absent{}));
    const auto a = std::get<objects::stored_object>(first.read("/teams/t/a"));
    const auto b = std::get<objects::stored_object>(first.read("/teams/t/b"));
    cr_assert_neq(a.write_id, b.write_id);
}

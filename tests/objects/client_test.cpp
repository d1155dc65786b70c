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

std::uint64_t written_version(const objects::write_result& result)
{
    const auto* success = std::get_if<written>(&result);
    cr_assert_not_null(success, "not written, alternative %zu", result.index());
    return success->version;
}

std::string value_of(objects::client& client, const std::string& object_path)
{
    const auto result = client.read(object_path);
    const auto* object = std::get_if<objects::stored_object>(&result);
    return object == nullptr ? "" : object->value;
}

} // namespace

Test(platform_client, read_returns_written_value_without_added_keys)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const auto version =
        written_version(client.put(path, R"({"a":1})", if_absent{}));
    const auto object = std::get<objects::stored_object>(client.read(path));
    cr_assert_eq(object.path, path);
    cr_assert_eq(object.version, version);
    cr_assert_eq(object.value, R"({"a":1})");
    cr_assert(object.write_id.starts_with("writer1-"));
    cr_assert(object.replaced_version == 0);
}

Test(platform_client, write_conditions_are_enforced)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const auto first = written_version(client.put(path, "{}", if_absent{}));
    cr_assert(client.put(path, "{}", if_absent{}) ==
              objects::write_result(conflict{first}));
    const auto second =
        written_version(client.put(path, R"({"b":2})", if_version{first}));
    cr_assert(client.put(path, "{}", if_version{first}) ==
              objects::write_result(conflict{second}));
    cr_assert(client.remove(path, if_version{first}) ==
              objects::write_result(conflict{second}));
    cr_assert(std::holds_alternative<written>(
        client.remove(path, if_version{second})));
    cr_assert(std::holds_alternative<objects::not_found>(client.read(path)));
}

Test(platform_client, rejects_invalid_values_and_paths)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    for (const char* value : {"[]", "1", "{", R"({"write_id":"x"})"})
        cr_assert(std::holds_alternative<objects::rejected>(
            client.put(path, value, always{})));
    cr_assert(std::holds_alternative<objects::rejected>(
        client.put("/a b", "{}", always{})));
}

Test(platform_client, value_above_one_megabyte_is_rejected)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const std::string value =
        core::concat(R"({"a":")", std::string(1100000, 'x'), "\"}");
    cr_assert(std::holds_alternative<objects::rejected>(
        client.put(path, value, always{})));
}

Test(platform_client, lost_answer_is_resolved_by_write_id)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    platform.set_faults(R"({"lose_answers":1})");
    const auto created = written_version(client.put(path, "{}", if_absent{}));
    platform.set_faults(R"({"lose_answers":1})");
    const auto replaced =
        written_version(client.put(path, R"({"b":2})", if_version{created}));
    cr_assert_gt(replaced, created);
    cr_assert_eq(value_of(client, path), R"({"b":2})");
    platform.set_faults(R"({"lose_answers":1})");
    cr_assert(std::holds_alternative<written>(
        client.remove(path, if_version{replaced})));
}

Test(platform_client, lost_answer_with_stale_reads_is_not_reported_as_conflict)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const auto created = written_version(client.put(path, "{}", if_absent{}));
    platform.set_faults(R"({"lose_answers":1,"stale_reads":true})");
    const auto result = client.put(path, R"({"b":2})", if_version{created});
    cr_assert(std::holds_alternative<unknown_outcome>(result));
    platform.set_faults(R"({"stale_reads":false})");
    cr_assert_eq(value_of(client, path), R"({"b":2})");
}

Test(platform_client, unconditional_write_is_retried_after_lost_answer)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    platform.set_faults(R"({"lose_answers":2,"stale_reads":true})");
    cr_assert(std::holds_alternative<written>(
        client.put(path, R"({"c":3})", always{})));
    platform.set_faults(R"({"stale_reads":false})");
    cr_assert_eq(value_of(client, path), R"({"c":3})");
}

Test(platform_client, calls_are_unavailable_during_an_outage_and_write_nothing)
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

Test(platform_client, rate_limit_of_the_platform_is_reported)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    platform.set_faults(R"({"rate_per_s":0.001})");
    objects::read_result last = client.read(path);
    for (int i = 0; i < 4; ++i)
        last = client.read(path);
    cr_assert(std::get<unavailable>(last).cause == failure::rate_limited);
}

Test(platform_client, missing_listener_is_reported_as_connect_failed)
{
    objects::client_settings settings;
    settings.endpoint = {"127.0.0.1", 1};
    settings.backoff = {absl::Milliseconds(1), absl::Milliseconds(2)};
    objects::client client(settings);
    cr_assert(std::get<unavailable>(client.put(path, "{}", always{})).cause ==
              failure::connect_failed);
}

Test(platform_client, each_call_is_reported)
{
    platform_fixture platform;
    std::vector<objects::call_record> records;
    auto settings = platform.settings();
    settings.on_call = [&](const auto& record) { records.push_back(record); };
    objects::client client(settings);
    platform.set_faults(R"({"lose_answers":1})");
    written_version(client.put(path, "{}", if_absent{}));
    const std::vector<objects::call_record> expected{
        {objects::call_type::write, failure::no_answer},
        {objects::call_type::read_back, std::nullopt}};
    cr_assert(records == expected);
}

Test(platform_client, watch_returns_changes_in_order)
{
    platform_fixture platform;
    objects::client client(platform.settings());
    const auto first = written_version(client.put(path, "{}", if_absent{}));
    const auto second =
        written_version(client.put(path, R"({"a":1})", if_version{first}));
    written_version(client.remove(path, if_version{second}));
    const auto changes = std::get<objects::object_changes>(
        client.watch("/teams/", first, absl::Seconds(5)));
    cr_assert_eq(changes.changes.size(), 2);
    cr_assert_eq(changes.changes[0].object->value, R"({"a":1})");
    cr_assert_not(changes.changes[1].object.has_value());
    const auto none = std::get<objects::object_changes>(
        client.watch("/teams/", changes.revision, absl::Milliseconds(20)));
    cr_assert(none.changes.empty());
}

Test(platform_client, unanswered_watch_times_out)
{
    platform_fixture platform;
    auto settings = platform.settings();
    settings.watch_grace = absl::Milliseconds(50);
    objects::client client(settings);
    platform.set_faults(R"({"silent_watch":true})");
    cr_assert(std::holds_alternative<objects::watch_timed_out>(
        client.watch("/teams/", 0, absl::Milliseconds(50))));
    platform.set_faults(R"({"silent_watch":false})");
    cr_assert(std::holds_alternative<objects::object_changes>(
        client.watch("/teams/", 0, absl::Milliseconds(50))));
}

Test(platform_client, watch_from_a_forgotten_revision_returns_history_gone)
{
    platform_fixture platform(2);
    objects::client client(platform.settings());
    for (int i = 0; i < 5; ++i)
        written_version(client.put(path, "{}", always{}));
    cr_assert(std::holds_alternative<objects::history_gone>(
        client.watch("/teams/", 1, absl::Seconds(1))));
}

Test(platform_client, announced_instances_are_listed)
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

Test(platform_client, stop_aborts_a_watch)
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

Test(platform_client, clients_with_the_same_prefix_create_distinct_write_ids)
{
    platform_fixture platform;
    const objects::client_settings settings = platform.settings();
    objects::client first(settings);
    objects::client second(settings);
    written_version(first.put("/teams/t/a", "{}", if_absent{}));
    written_version(second.put("/teams/t/b", "{}", if_absent{}));
    const auto a = std::get<objects::stored_object>(first.read("/teams/t/a"));
    const auto b = std::get<objects::stored_object>(first.read("/teams/t/b"));
    cr_assert_neq(a.write_id, b.write_id);
}

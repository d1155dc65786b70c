#include "oriolefall/router/server_reader.hpp"

#include <criterion/criterion.h>

namespace {

using namespace oriolefall;

follow::stored_object make_object(const std::string& name,
                                  std::uint64_t revision)
{
    follow::stored_object result;
    result.name = name;
    result.revision = revision;
    return result;
}

/// A reader whose parser rejects objects named "bad" and counts its calls.
class counting_reader
{
public:
    unsigned parse_count = 0;
    router::server_reader subject{[this](const follow::stored_object& object)
                                      -> std::optional<dispatch::server_entry> {
        ++parse_count;
        if (object.name == "bad")
            return std::nullopt;
        dispatch::server_entry entry;
        entry.id = core::backend_server_id(object.name);
        entry.slots = static_cast<std::uint32_t>(object.revision);
        return entry;
    }};
};

} // namespace

Test(server_reader, parses_only_changed_objects)
{
    counting_reader reader;
    follow::collection_view view;
    view.objects = {{"a", make_object("a", 1)}, {"b", make_object("b", 2)}};
    cr_assert_eq(reader.subject.read(view).servers->size(), 2);
    view.objects["b"] = make_object("b", 3);
    const auto change = reader.subject.read(view);
    cr_assert_eq(reader.parse_count, 3);
    cr_assert_eq(change.servers->size(), 2);
    cr_assert_eq(change.servers->at(1).slots, 3);
}

Test(server_reader, skips_objects_that_describe_no_server)
{
    counting_reader reader;
    follow::collection_view view;
    view.objects = {{"bad", make_object("bad", 1)}, {"b", make_object("b", 2)}};
    for (int round = 0; round < 2; ++round)
        cr_assert_eq(reader.subject.read(view).servers->size(), 1);
    cr_assert_eq(reader.parse_count, 2);
}

Test(server_reader, reports_stale_servers)
{
    counting_reader reader;
    follow::collection_view view;
    view.objects = {{"a", make_object("a", 1)}, {"b", make_object("b", 2)}};
    static_cast<void>(reader.subject.read(view));
    view.stale.insert(view.objects.extract("b"));
    const auto change = reader.subject.read(view);
    cr_assert_eq(change.servers->size(), 2);
    cr_assert_eq(change.stale.size(), 1);
    cr_assert_eq(change.stale.front(), core::backend_server_id("b"));
    cr_assert_eq(reader.parse_count, 2);
}

// ROUTE: a revision that the restored store gives out again names another
// object than before.
Test(server_reader, parses_anew_when_the_store_was_restored)
{
    counting_reader reader;
    follow::collection_view view;
    view.objects = {{"a", make_object("a", 1)}};
    static_cast<void>(reader.subject.read(view));
    view.epoch = 1;
    static_cast<void>(reader.subject.read(view));
    cr_assert_eq(reader.parse_count, 2);
    static_cast<void>(reader.subject.read(view));
    cr_assert_eq(reader.parse_count, 2);
}

// DRAIN: a server that was known to leave was called again, as the store had
// gone back to a time before.
Test(server_reader, a_restored_store_undoes_no_leaving)
{
    using follow::object_change;
    const auto parse = [](const follow::stored_object& object) {
        dispatch::server_entry entry;
        entry.id = core::backend_server_id(object.name);
        entry.is_draining = object.value.starts_with("draining");
        entry.started_at_ms = object.value.ends_with("again") ? 2 : 1;
        return std::optional(entry);
    };
    router::server_reader subject(parse);
    follow::collection_view view;
    view.objects = {{"gone", {"gone", 1, "ready"}},
                    {"leaving", {"leaving", 1, "ready"}},
                    {"restarted", {"restarted", 1, "ready again"}},
                    {"warm", {"warm", 1, "ready"}}};
    view.lost_changes = {
        {"gone", object_change{{"gone", 9, ""}, true}},
        {"leaving", object_change{{"leaving", 9, "draining"}, false}},
        {"restarted", object_change{{"restarted", 9, "draining"}, false}},
        {"warm", object_change{{"warm", 9, "ready, warm"}, false}}};
    const auto lost = *subject.read(view).servers;
    cr_assert_eq(lost.size(), 3);
    cr_assert(lost[0].is_draining);
    cr_assert_not(lost[1].is_draining);
    cr_assert_not(lost[2].is_draining);
    view.lost_changes.clear();
    const auto remade = *subject.read(view).servers;
    cr_assert_eq(remade.size(), 4);
    cr_assert_not(remade[1].is_draining);
}

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
    view.doubtful.insert(view.objects.extract("b"));
    const auto change = reader.subject.read(view);
    cr_assert_eq(change.servers->size(), 2);
    cr_assert_eq(change.stale.size(), 1);
    cr_assert_eq(change.stale.front(), core::backend_server_id("b"));
    cr_assert_eq(reader.parse_count, 2);
}

#include "oriolefall/router/server_reader.hpp"

#include <criterion/criterion.h>

namespace {

using namespace oriolefall;

follow::stored_object object(const std::string& name, std::uint64_t revision)
{
    follow::stored_object made;
    made.name = name;
    made.revision = revision;
    return made;
}

/// Reads every object but those named "bad", and counts.
class counted_reader
{
public:
    unsigned parsed = 0;
    router::server_reader subject{[this](const follow::stored_object& object)
                                      -> std::optional<dispatch::server_entry> {
        ++parsed;
        if (object.name == "bad")
            return std::nullopt;
        dispatch::server_entry entry;
        entry.id = core::backend_server_id(object.name);
        entry.slots = static_cast<std::uint32_t>(object.revision);
        return entry;
    }};
};

} // namespace

Test(server_reader, parses_what_changed_only)
{
    counted_reader reader;
    follow::collection_view view;
    view.objects = {{"a", object("a", 1)}, {"b", object("b", 2)}};
    cr_assert_eq(reader.subject.read(view).servers->size(), 2);
    view.objects["b"] = object("b", 3);
    const auto read = reader.subject.read(view);
    cr_assert_eq(reader.parsed, 3);
    cr_assert_eq(read.servers->size(), 2);
    cr_assert_eq(read.servers->at(1).slots, 3);
}

Test(server_reader, leaves_out_objects_that_name_no_server)
{
    counted_reader reader;
    follow::collection_view view;
    view.objects = {{"bad", object("bad", 1)}, {"b", object("b", 2)}};
    for (int times = 0; times < 2; ++times)
        cr_assert_eq(reader.subject.read(view).servers->size(), 1);
    cr_assert_eq(reader.parsed, 2);
}

Test(server_reader, tells_which_servers_are_in_doubt)
{
    counted_reader reader;
    follow::collection_view view;
    view.objects = {{"a", object("a", 1)}, {"b", object("b", 2)}};
    static_cast<void>(reader.subject.read(view));
    view.stale.insert(view.objects.extract("b"));
    const auto read = reader.subject.read(view);
    cr_assert_eq(read.servers->size(), 2);
    cr_assert_eq(read.stale.size(), 1);
    cr_assert_eq(read.stale.front(), core::backend_server_id("b"));
    cr_assert_eq(reader.parsed, 2);
}

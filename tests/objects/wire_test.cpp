#include "oriolefall/objects/wire.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace oriolefall::objects;

namespace {

std::string list_with(const std::string& value)
{
    return R"({"revision":7,"objects":[{"path":"a","version":1,"value":1},)"
           R"({"path":"b","version":2,"value":)" +
           value + R"(},{"path":"c","version":3,"value":3}]})";
}

} // namespace

// What was nested too deep overflowed the stack when it was printed; what the
// library refuses made the whole list unreadable.
Test(wire, an_unreadable_object_hides_no_other)
{
    const std::string nested =
        std::string(200000, '[') + std::string(200000, ']');
    for (const std::string& value :
         {nested, std::string("1e400"), std::string("\"\\ud800\""),
          std::string("\"\xff\"")}) {
        const auto list = wire::parse_list(list_with(value));
        cr_assert(list.has_value());
        cr_assert_eq(list->revision, 7);
        cr_assert_eq(list->objects.size(), 2);
        cr_assert_eq(list->objects[1].path, "c");
        cr_assert_not(wire::print_put(nested, "id", {}).has_value());
    }
    cr_assert_not(wire::parse_list("[]").has_value());
    cr_assert_not(wire::parse_list(R"({"revision":7})").has_value());
}

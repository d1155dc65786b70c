// Entries of other writers whose names hold characters that mean something in a
// request target. The store serves a page for each entry, and decodes targets
// strictly.
#include "tests/adapter/following_instance.hpp"
#include "tests/adapter/running_store.hpp"

#include <algorithm>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::following_instance;
using tests::running_store;

namespace {

const std::string servers = "servers";
const std::string& instances = tests::instances_collection;
constexpr std::size_t sound_entries = 7;

std::string sound_name(std::size_t number)
{
    return "s" + std::to_string(number);
}

/// Writes the odd entry, and sound ones.
void write_entries(running_store& store, const std::string& kind,
                   const std::string& odd_name)
{
    store.with([&](soak::store_server& each) {
        each.set_page_items(1);
        each.put(kind, odd_name, {{"state", 7}});
        for (std::size_t number = 1; number <= sound_entries; ++number)
            each.put(kind, sound_name(number), {{"state", "ready"}});
    });
}

bool wait_for_entries(following_instance& instance,
                      const std::set<std::string>& names)
{
    return instance.wait_for([&names](const follow::collection_view& view) {
        return std::ranges::all_of(names, [&view](const std::string& name) {
            return view.objects.contains(name);
        });
    });
}

std::size_t list_calls(running_store& store, const std::string& kind)
{
    return store.with(
        [&](soak::store_server& each) { return each.list_calls(kind); });
}

bool wait_for_value(following_instance& instance, const std::string& name,
                    const std::string& value)
{
    return instance.wait_for([&](const follow::collection_view& view) {
        const auto found = view.objects.find(name);
        return found != view.objects.end() && found->second.value == value;
    });
}

bool wait_until_gone(following_instance& instance, const std::string& name)
{
    return instance.wait_for([&](const follow::collection_view& view) {
        return !view.objects.contains(name);
    });
}

/// All entries are known after one list. What comes later, changes or goes is
/// known by the watch.
void expect_followed(const std::string& kind, const std::string& odd_name)
{
    running_store store;
    write_entries(store, kind, odd_name);
    following_instance instance(store.endpoint(), kind);
    std::set<std::string> listed{odd_name};
    for (std::size_t number = 1; number <= sound_entries; ++number)
        listed.insert(sound_name(number));
    cr_assert(wait_for_entries(instance, listed), "%s", odd_name.c_str());
    const std::string later = sound_name(sound_entries + 1);
    store.with([&](soak::store_server& each) {
        each.put(kind, later, {});
        each.put(kind, sound_name(1), 2);
        each.erase(kind, sound_name(2));
        each.erase(kind, odd_name);
    });
    cr_assert(wait_for_entries(instance, {later}), "%s", odd_name.c_str());
    cr_assert(wait_for_value(instance, sound_name(1), "2"), "%s",
              odd_name.c_str());
    cr_assert(wait_until_gone(instance, sound_name(2)), "%s", odd_name.c_str());
    cr_assert(wait_until_gone(instance, odd_name), "%s", odd_name.c_str());
    cr_assert_eq(list_calls(store, kind), listed.size(), "%s",
                 odd_name.c_str());
}

void expect_followed_in_each_kind(const std::string& odd_name)
{
    for (const char* kind : {"servers", "config"})
        expect_followed(kind, odd_name);
}

} // namespace

// RECOVER: `after` was sent as it is, so the store read another name or none.
// With `&` or `+` the same page came again and again, without a pause.
Test(odd_entry, delimiters_of_a_query_hide_no_other_entry)
{
    for (const char* name : {"a&b", "a+b", "a#b", "a=b", "a;b", "a?b", "+&"})
        expect_followed_in_each_kind(name);
}

// With `%7E` the list went on behind all others, and ended without a word.
Test(odd_entry, escapes_hide_no_other_entry)
{
    for (const char* name : {"%7E", "%", "100%", "%zz", "a%00b", "%25", "%41"})
        expect_followed_in_each_kind(name);
}

Test(odd_entry, blanks_and_control_characters_hide_no_other_entry)
{
    for (const std::string& name :
         {std::string(" "), std::string("a b"), std::string("a\r\nb: c"),
          std::string("a\0b", 3), std::string("\x01\x7f")})
        expect_followed_in_each_kind(name);
}

Test(odd_entry, any_other_name_hides_no_other_entry)
{
    for (const std::string& name :
         {std::string("a/b"), std::string(".."), std::string("\"\\"),
          std::string("\u00e9\u2603"), std::string(6000, 'a')})
        expect_followed_in_each_kind(name);
}

// The list of instances goes on from names in the same way.
Test(odd_entry, an_instance_registers_beside_an_odd_entry)
{
    for (const std::string& name :
         {std::string("a&b"), std::string("a+b"), std::string("a#b"),
          std::string("%"), std::string("%7E"), std::string("%41"),
          std::string("a b"), std::string("a\r\nb"), std::string("\u00e9")}) {
        running_store store;
        write_entries(store, instances, name);
        following_instance instance(store.endpoint(), servers);
        // It writes its object after a complete list.
        cr_assert(store.wait_for_names(instances,
                                       [](const auto& names) {
                                           return names.contains("edge-1");
                                       }),
                  "%s", name.c_str());
        // One list before the registration, one after it.
        cr_assert_leq(list_calls(store, instances), 2 * sound_entries + 3, "%s",
                      name.c_str());
    }
}

// The instance that removes what a dead one has left asked for `edge-9?x=1` to
// be removed, and the store removed `edge-9`.
Test(odd_entry, its_removal_removes_no_other_entry)
{
    for (const char* name :
         {"edge-9?x=1", "edge-9#x", "%65dge-9", "edge-9/x"}) {
        running_store store;
        store.with([&](soak::store_server& each) {
            each.put(instances, "edge-9", {});
            each.put(instances, name, {});
        });
        following_instance instance(store.endpoint(), servers);
        instance.remove_instance(name);
        cr_assert(store.wait_for_names(instances,
                                       [name](const auto& names) {
                                           return !names.contains(name);
                                       }),
                  "%s", name);
        cr_assert(store.names_of(instances).contains("edge-9"), "%s", name);
    }
}

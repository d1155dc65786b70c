#include "stand_ins/object_store.hpp"

#include <map>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall::stand_ins;

namespace {

struct store_and_model
{
    object_store store{1000};
    std::map<std::string, object_version> model;

    void write()
    {
        const std::string path = "/" + std::to_string(*rc::gen::inRange(0, 4));
        const auto value = *rc::gen::arbitrary<bool>()
                               ? std::optional<std::string>("1")
                               : std::nullopt;
        write_condition condition;
        condition.absent = *rc::gen::arbitrary<bool>();
        if (*rc::gen::arbitrary<bool>())
            condition.version = *rc::gen::inRange<std::uint64_t>(0, 10);
        const std::uint64_t before = current(path);
        const bool allowed =
            (!condition.version || *condition.version == before) &&
            (!condition.absent || before == 0);
        const auto result = store.write(path, value, condition);
        RC_ASSERT(std::holds_alternative<write_done>(result) == allowed);
        if (allowed)
            model[path] = {path, std::get<write_done>(result).version, value};
        else
            RC_ASSERT(std::get<write_conflict>(result).current == before);
    }

    [[nodiscard]] std::uint64_t current(const std::string& path) const
    {
        const auto found = model.find(path);
        if (found == model.end() || !found->second.value)
            return 0;
        return found->second.version;
    }
};

} // namespace

Test(object_store, conditional_writes_follow_a_plain_model)
{
    const bool held = rc::check("store equals map", [] {
        store_and_model both;
        const int writes = *rc::gen::inRange(0, 30);
        for (int i = 0; i < writes; ++i)
            both.write();
        for (const auto& [path, expected] : both.model) {
            const auto found = both.store.read(path, freshness::newest);
            RC_ASSERT(found.has_value() == expected.value.has_value());
            if (found)
                RC_ASSERT(*found == expected);
        }
        const auto changes = both.store.changes_since("/", 0);
        RC_ASSERT(changes->size() == both.store.revision());
    });
    cr_assert(held);
}

Test(object_store, forgets_old_changes)
{
    object_store store(2);
    for (int i = 0; i < 4; ++i)
        store.write("/a", "1", {});
    cr_assert_not(store.changes_since("/", 1).has_value());
    cr_assert_eq(store.changes_since("/", 2)->size(), 2);
    cr_assert(store.changes_since("/b", 2)->empty());
}

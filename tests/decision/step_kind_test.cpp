#include "oriolefall/decision/action.hpp"

#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::decision;

// Metrics and logs name the kind of each step, also of the last one.
Test(step_kind, each_kind_has_a_name_of_its_own)
{
    std::set<std::string> names;
    const auto last = static_cast<int>(step_kind::share_granted);
    for (int kind = 0; kind <= last; ++kind)
        names.emplace(to_string(static_cast<step_kind>(kind)));
    cr_assert_eq(names.size(), last + 1);
    cr_assert(names.contains("share_granted"));
}

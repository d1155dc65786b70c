#include "oriolefall/membership/absence_watch.hpp"

#include <criterion/criterion.h>

namespace {

using namespace oriolefall;
using membership::absence_watch;
using membership::member;

const absl::Time start = absl::UnixEpoch();

member heard(const std::string& id)
{
    member made;
    made.id = core::instance_id(id);
    made.incarnation = 1;
    return made;
}

member named(const std::string& id)
{
    member made = heard(id);
    made.incarnation = 0;
    return made;
}

} // namespace

Test(absence_watch, gives_an_instance_that_nobody_heard_for_long)
{
    absence_watch subject(absl::Minutes(10));
    const std::vector<member> listed{named("a"), named("b"), named("c")};
    const std::vector<member> known{heard("b"), named("c")};
    const core::instance_id self("a");
    cr_assert(subject.take(start, self, listed, known).empty());
    cr_assert(
        subject.take(start + absl::Minutes(9), self, listed, known).empty());
    const auto removed =
        subject.take(start + absl::Minutes(10), self, listed, known);
    cr_assert_eq(removed.size(), 1);
    cr_assert_eq(removed.front(), core::instance_id("c"));
}

Test(absence_watch, counts_anew_when_it_was_heard_between)
{
    absence_watch subject(absl::Minutes(10));
    const std::vector<member> listed{named("a"), named("b"), named("c")};
    const core::instance_id self("a");
    static_cast<void>(subject.take(start, self, listed, {heard("b")}));
    static_cast<void>(subject.take(start + absl::Minutes(5), self, listed,
                                   {heard("b"), heard("c")}));
    cr_assert(
        subject.take(start + absl::Minutes(11), self, listed, {heard("b")})
            .empty());
}

Test(absence_watch, leaves_it_to_the_first_and_to_those_that_hear_others)
{
    const std::vector<member> listed{named("a"), named("b"), named("c")};
    absence_watch second(absl::Minutes(1));
    absence_watch alone(absl::Minutes(1));
    for (const absl::Duration after : {absl::ZeroDuration(), absl::Hours(1)}) {
        cr_assert(second
                      .take(start + after, core::instance_id("b"), listed,
                            {heard("a")})
                      .empty());
        cr_assert(alone.take(start + after, core::instance_id("a"), listed, {})
                      .empty());
    }
}

#include "oriolefall/membership/absent_instance_detector.hpp"

#include <criterion/criterion.h>

namespace {

using namespace oriolefall;
using membership::absent_instance_detector;
using membership::member;

const absl::Time start = absl::UnixEpoch();

member known_by_gossip(const std::string& id)
{
    member made;
    made.id = core::instance_id(id);
    made.incarnation = 1;
    return made;
}

member listed_only(const std::string& id)
{
    member made = known_by_gossip(id);
    made.incarnation = 0;
    return made;
}

} // namespace

Test(absent_instance_detector, returns_an_instance_absent_for_the_removal_delay)
{
    absent_instance_detector subject(absl::Minutes(10));
    const std::vector<member> listed{listed_only("a"), listed_only("b"),
                                     listed_only("c")};
    const std::vector<member> known{known_by_gossip("b"), listed_only("c")};
    const core::instance_id self("a");
    cr_assert(subject.update(start, self, listed, known).empty());
    cr_assert(
        subject.update(start + absl::Minutes(9), self, listed, known).empty());
    const auto removable =
        subject.update(start + absl::Minutes(10), self, listed, known);
    cr_assert_eq(removable.size(), 1);
    cr_assert_eq(removable.front(), core::instance_id("c"));
}

Test(absent_instance_detector, restarts_the_delay_when_the_instance_reappears)
{
    absent_instance_detector subject(absl::Minutes(10));
    const std::vector<member> listed{listed_only("a"), listed_only("b"),
                                     listed_only("c")};
    const core::instance_id self("a");
    static_cast<void>(
        subject.update(start, self, listed, {known_by_gossip("b")}));
    static_cast<void>(
        subject.update(start + absl::Minutes(5), self, listed,
                       {known_by_gossip("b"), known_by_gossip("c")}));
    cr_assert(subject
                  .update(start + absl::Minutes(11), self, listed,
                          {known_by_gossip("b")})
                  .empty());
}

Test(absent_instance_detector,
     returns_nothing_without_the_lowest_id_or_without_other_members)
{
    const std::vector<member> listed{listed_only("a"), listed_only("b"),
                                     listed_only("c")};
    absent_instance_detector without_lowest_id(absl::Minutes(1));
    absent_instance_detector without_others(absl::Minutes(1));
    for (const absl::Duration after : {absl::ZeroDuration(), absl::Hours(1)}) {
        cr_assert(without_lowest_id
                      .update(start + after, core::instance_id("b"), listed,
                              {known_by_gossip("a")})
                      .empty());
        cr_assert(without_others
                      .update(start + after, core::instance_id("a"), listed, {})
                      .empty());
    }
}

#include "stand_ins/platform_desk.hpp"

#include <optional>

#include <criterion/criterion.h>

using namespace oriolefall::stand_ins;

namespace {

/// Calls a desk on a clock of its own.
struct desk_driver
{
    std::shared_ptr<std::optional<platform_reply>> call(platform_request what)
    {
        auto place = std::make_shared<std::optional<platform_reply>>();
        desk.take(now, {std::move(what), [place](platform_reply reply) {
                            cr_assert_not(place->has_value());
                            *place = std::move(reply);
                        }});
        return place;
    }

    void pass(absl::Duration time)
    {
        now += time;
        desk.advance(now);
    }

    void set(const std::function<void(platform_faults&)>& change)
    {
        desk.change_faults(change);
        desk.advance(now);
    }

    absl::Time now = absl::UnixEpoch();
    platform_desk desk{100};
};

write_object put(const std::string& path)
{
    return {path, "1", {}};
}

template <class T>
bool is(const std::shared_ptr<std::optional<platform_reply>>& place)
{
    return place->has_value() && std::holds_alternative<T>(**place);
}

} // namespace

Test(platform_desk, a_write_wakes_the_watches_of_its_prefix)
{
    desk_driver driver;
    const auto here =
        driver.call(watch_objects{"/teams/", 0, absl::Seconds(9)});
    const auto elsewhere =
        driver.call(watch_objects{"/moves/", 0, absl::Seconds(9)});
    cr_assert_not(here->has_value());
    driver.call(put("/teams/a"));
    cr_assert(is<change_listing>(here));
    cr_assert_not(elsewhere->has_value());
    driver.pass(absl::Seconds(9));
    cr_assert(is<change_listing>(elsewhere));
    cr_assert(std::get<change_listing>(**elsewhere).events.empty());
}

Test(platform_desk, a_lost_answer_took_effect)
{
    desk_driver driver;
    driver.set([](platform_faults& f) { f.lose_answers = 1; });
    cr_assert(is<answer_lost>(driver.call(put("/a"))));
    cr_assert(is<object_version>(driver.call(read_object{"/a"})));
    cr_assert(is<write_done>(driver.call(put("/a"))));
}

Test(platform_desk, a_slow_call_takes_effect_late)
{
    desk_driver driver;
    driver.set([](platform_faults& f) { f.slow = absl::Seconds(1); });
    const auto slow = driver.call(put("/a"));
    driver.set([](platform_faults& f) { f.slow = absl::ZeroDuration(); });
    cr_assert(is<not_found>(driver.call(read_object{"/a"})));
    driver.pass(absl::Seconds(1));
    cr_assert(is<write_done>(slow));
}

Test(platform_desk, an_outage_refuses_and_ends_watches)
{
    desk_driver driver;
    const auto watch = driver.call(watch_objects{"/", 0, absl::Seconds(9)});
    driver.set([](platform_faults& f) { f.outage = true; });
    cr_assert(is<platform_down>(watch));
    cr_assert(is<platform_down>(driver.call(put("/a"))));
    driver.set([](platform_faults& f) { f.outage = false; });
    cr_assert(is<not_found>(driver.call(read_object{"/a"})));
}

Test(platform_desk, silent_watches_tell_nothing_until_they_are_healed)
{
    desk_driver driver;
    driver.set([](platform_faults& f) { f.silent_watch = true; });
    const auto watch = driver.call(watch_objects{"/", 0, absl::Seconds(1)});
    driver.call(put("/a"));
    driver.pass(absl::Seconds(5));
    cr_assert_not(watch->has_value());
    driver.set([](platform_faults& f) { f.silent_watch = false; });
    cr_assert(is<change_listing>(watch));
}

Test(platform_desk, stale_reads_give_the_version_before)
{
    desk_driver driver;
    driver.call(put("/a"));
    driver.call(put("/a"));
    driver.set([](platform_faults& f) { f.stale_reads = true; });
    const auto stale = driver.call(read_object{"/a"});
    cr_assert_eq(std::get<object_version>(**stale).version, 1);
}

Test(platform_desk, the_rate_limit_refuses_and_recovers)
{
    desk_driver driver;
    driver.set([](platform_faults& f) { f.rate_per_s = 4; });
    cr_assert(is<write_done>(driver.call(put("/a"))));
    cr_assert(is<rate_limited>(driver.call(put("/a"))));
    driver.pass(absl::Seconds(1));
    cr_assert(is<write_done>(driver.call(put("/a"))));
    cr_assert_eq(driver.desk.stats().refused, 1);
    cr_assert_eq(driver.desk.stats().writes, 3);
}

Test(platform_desk, the_instance_list_lags_and_forgets_the_dead)
{
    desk_driver driver;
    instance_record record;
    record.id = "i";
    record.time_to_live = absl::Seconds(3);
    driver.set([](platform_faults& f) { f.instances_lag = absl::Seconds(2); });
    driver.call(tell_instance{record});
    const auto listed = [&] {
        const auto reply = driver.call(list_instances{});
        return std::get<std::vector<instance_record>>(**reply).size();
    };
    cr_assert_eq(listed(), 0);
    driver.pass(absl::Seconds(2));
    cr_assert_eq(listed(), 1);
    driver.pass(absl::Seconds(4));
    cr_assert_eq(listed(), 0);
}

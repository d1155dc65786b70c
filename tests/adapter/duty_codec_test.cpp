#include "platform/adapter.hpp"
#include "platform/duty_codec.hpp"

#include <string>
#include <variant>

#include <criterion/criterion.h>

using namespace oriolefall;

namespace {

const singleton::duty_protocol protocol = platform::make_duty_protocol();

follow::store_answer answer(unsigned status, const std::string& body)
{
    return {status, body};
}

} // namespace

// A provider that does not find its fields refuses or, worse, ignores them.
Test(duty_codec, provider_calls_have_the_wire_format)
{
    const core::instance_id holder("almaty-3");
    const auto usage =
        protocol.report_usage(holder, 4294967308,
                              {353445120,
                               {{core::workspace_id("fida11"), 411},
                                {core::workspace_id("hule930"), 412}}});
    cr_assert(usage.method == http::verb::post);
    cr_assert_eq(usage.target, "/usage");
    cr_assert_eq(usage.body, R"({"counts":{"fida11":411,"hule930":412},)"
                             R"("windowId":353445120})");
    cr_assert_eq(usage.fields.size(), 2);
    cr_assert_eq(usage.fields[0].first, "Oriolefall-Duty-Holder");
    cr_assert_eq(usage.fields[0].second, "almaty-3");
    cr_assert_eq(usage.fields[1].first, "Oriolefall-Fence-Token");
    cr_assert_eq(usage.fields[1].second, "4294967308");
    duties::size_order order{routing::service_name("huvo11a"),
                             core::failure_domain_name("almaty-a"), 6, false};
    const auto size = protocol.order_size(holder, 7, order);
    cr_assert_eq(size.target, "/scale");
    cr_assert_eq(size.body,
                 R"({"desired":6,"service":"huvo11a","zone":"almaty-a"})");
    order.is_spot = true;
    cr_assert_eq(protocol.order_size(holder, 7, order).body,
                 R"({"desired":6,"service":"huvo11a","spot":true,)"
                 R"("zone":"almaty-a"})");
    const auto text = protocol.report_usage(holder, 7, {1, {}}).body;
    cr_assert_eq(text, R"({"counts":{},"windowId":1})");
}

// The list of objects of the duties goes on from names in the same way.
Test(duty_codec, a_name_is_escaped_in_a_list_of_objects)
{
    cr_assert_eq(protocol.list("oriolefall-duties", "a&b+%41").target,
                 "/objects/oriolefall-duties?after=a%26b%2B%2541");
}

// An unconditional write would take the lease from its holder.
Test(duty_codec, writes_to_the_store_are_conditional)
{
    const auto create = protocol.write({"oriolefall-duties", "lease", "{}", 0});
    cr_assert(create.method == http::verb::post);
    cr_assert_eq(create.target, "/objects/oriolefall-duties");
    cr_assert_eq(create.body, R"({"metadata":{"name":"lease"},"spec":{}})");
    const auto replace =
        protocol.write({"oriolefall-duties", "lease", "{}", 91});
    cr_assert(replace.method == http::verb::put);
    cr_assert_eq(replace.target, "/objects/oriolefall-duties/lease");
    cr_assert_eq(replace.body,
                 R"({"metadata":{"name":"lease","revision":91},"spec":{}})");
}

// An answer that is taken for another outcome makes two holders of one lease.
Test(duty_codec, answers_of_the_store_and_the_provider_are_told_apart)
{
    const std::string object =
        R"({"metadata":{"name":"lease","revision":92},"spec":{"a":1}})";
    using namespace duties;
    cr_assert(protocol.parse_write(answer(200, object)) ==
              task_result(object_written{92}));
    cr_assert(protocol.parse_write(answer(200, "{}")) ==
              task_result(object_written{0}));
    cr_assert(protocol.parse_write(answer(409, object)) ==
              task_result(write_conflict{}));
    cr_assert(std::holds_alternative<task_failed>(
        protocol.parse_write(answer(503, object))));
    cr_assert(protocol.parse_read(answer(404, "{}")) ==
              singleton::read_result(singleton::object_absent{}));
    cr_assert(
        protocol.parse_read(answer(200, object)) ==
        singleton::read_result(object_version{"lease", R"({"a":1})", 92}));
    cr_assert(std::holds_alternative<follow::call_failed>(
        protocol.parse_read(answer(200, "{\"metadata\":"))));
    cr_assert(protocol.parse_provider(answer(200, "")) ==
              task_result(provider_accepted{}));
    cr_assert(protocol.parse_provider(answer(429, "")) ==
              task_result(provider_refused{429}));
    const leasing::lease lease{core::instance_id("a"), (3ULL << 32) | 5};
    const std::string text = protocol.print_lease({lease, 8});
    cr_assert(protocol.parse_lease(text) == lease);
    // The store takes no note of a renewal that changes nothing.
    cr_assert_neq(protocol.print_lease({lease, 9}), text);
    cr_assert_not(protocol.parse_lease("7"));
}

// The parts of the lease time have to add up, or a call may still be open when
// the next holder begins. Without a provider, nothing of it is active.
Test(duty_codec, settings_keep_calls_of_two_holders_apart)
{
    platform::process_settings settings;
    cr_assert_not(platform::to_router_settings(settings, 1).singleton);
    settings.provider.emplace();
    settings.provider->calls_per_s = 50;
    settings.provider->lease_time = absl::Seconds(2);
    const auto duty = *platform::to_router_settings(settings, 1).singleton;
    const auto& lease = duty.lease.lease;
    const absl::Duration last_start =
        lease.duration - lease.margin - duty.min_lease_left;
    cr_assert(last_start + absl::FromChrono(duty.answer_timeout) <=
              lease.duration + lease.margin);
    cr_assert(lease.duration + lease.margin <= settings.provider->lease_time);
    cr_assert_leq(duty.provider_calls_per_s + duty.provider_burst, 25);
}

#include "stand_ins/service_server.hpp"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace oriolefall::stand_ins;
using nlohmann::json;

Test(service_server, a_dropped_answer_ran_and_a_refused_call_did_not)
{
    const service_server service("s", {0, 8});
    httplib::Client client("127.0.0.1", service.port());
    const auto call = [&] {
        return client.Post("/bookings", {{"Idempotency-Key", "k"}}, "{}",
                           "application/json");
    };
    cr_assert_eq(json::parse(call()->body)["runs"], 1);
    client.Post("/faults", R"({"drop_answer":true})", "application/json");
    cr_assert_not(call());
    client.Post("/faults", R"({"refuse":true})", "application/json");
    const auto refused = call();
    cr_assert_eq(refused->status, 503);
    cr_assert(refused->has_header("Retry-After"));
    const json stats = json::parse(client.Get("/stats")->body);
    cr_assert_eq(stats["by_key"]["k"], 2);
    cr_assert_eq(stats["calls"], 2);
}

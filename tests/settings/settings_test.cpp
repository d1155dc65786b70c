#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/instance_settings.hpp"
#include "oriolefall/settings/units.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using errors = std::vector<core::settings_error>;

namespace {

constexpr const char* minimal_deployment = R"({
    "regions": [{"name": "r", "failure_domains": ["r-1"]}],
    "teams": [{"name": "t"}],
    "models": [{"name": "m"}],
    "classes": [{"name": "c", "tier": "standard"},
                {"name": "s", "tier": "standard", "kind": "service"}],
    "workspaces": [{"name": "w", "team": "t"}],
    "backend_servers": [{"id": "b", "endpoint": "127.0.0.1:1", "serves": ["m"],
        "location": {"region": "r", "failure_domain": "r-1"}}]
})";

constexpr const char* minimal_instance = R"({
    "instance": "i",
    "location": {"region": "r", "failure_domain": "r-1"},
    "peer_key": "0123456789abcdef"
})";

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    cr_assert(file.good(), "%s cannot be read", path.c_str());
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string example(const std::string& name)
{
    const char* source = std::getenv("ORIOLEFALL_SOURCE");
    cr_assert_not_null(source);
    return read_file(std::string(source) + "/examples/" + name);
}

/// `text` with its first `from` replaced by `to`.
std::string with_replacement(std::string text, const std::string& from,
                             const std::string& to)
{
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos, "no %s", from.c_str());
    return text.replace(at, from.size(), to);
}

template <class Value>
errors faults_of(const std::variant<Value, errors>& parsed)
{
    const auto* faults = std::get_if<errors>(&parsed);
    return faults == nullptr ? errors() : *faults;
}

errors deployment_faults(const std::string& from, const std::string& to)
{
    return faults_of(settings::parse_deployment(
        with_replacement(minimal_deployment, from, to)));
}

errors instance_faults(const std::string& from, const std::string& to)
{
    return faults_of(settings::parse_instance_settings(
        with_replacement(minimal_instance, from, to)));
}

void expect_single_fault(const errors& faults, const std::string& path,
                         const std::string& found, const std::string& allowed)
{
    cr_assert_eq(faults.size(), 1, "%s: %zu faults", path.c_str(),
                 faults.size());
    cr_assert_eq(faults[0].path, path, "%s", faults[0].path.c_str());
    cr_assert_neq(faults[0].found.find(found), std::string::npos, "%s",
                  faults[0].found.c_str());
    cr_assert_neq(faults[0].allowed.find(allowed), std::string::npos, "%s",
                  faults[0].allowed.c_str());
}

} // namespace

Test(settings, minimal_documents_have_no_faults)
{
    cr_assert(
        faults_of(settings::parse_deployment(minimal_deployment)).empty());
    cr_assert(
        faults_of(settings::parse_instance_settings(minimal_instance)).empty());
}

Test(settings, example_deployments_have_no_faults)
{
    for (const char* name : {"dala_compass.jsonc", "vitols.jsonc"}) {
        const auto parsed = settings::parse_deployment(example(name));
        for (const core::settings_error& fault : faults_of(parsed))
            cr_log_error("%s %s", fault.path.c_str(), fault.found.c_str());
        const auto* value = std::get_if<settings::deployment>(&parsed);
        cr_assert_not_null(value);
        cr_assert_eq(value->regions.size(), 3);
        cr_assert_eq(value->workspaces.size(), 10);
    }
}

Test(settings, example_instance_settings_are_parsed)
{
    const auto parsed =
        settings::parse_instance_settings(example("instance.jsonc"));
    const auto& value = std::get<settings::instance_settings>(parsed);
    cr_assert_eq(value.instance.value(), "entry-almaty-1");
    cr_assert_eq(value.listen.port, 8080);
    cr_assert_eq(value.peers.size(), 3);
    cr_assert_eq(value.front.max_body_bytes, 1024UL * 1024);
    cr_assert(value.address_lifetime == absl::Seconds(30));
    cr_assert_eq(value.team_keys.size(), 2);
}

Test(settings, an_unknown_key_is_an_error)
{
    expect_single_fault(
        deployment_faults("\"tier\"", "\"colour\": 1, \"tier\""),
        "/classes/0/colour", "1", "tier");
    expect_single_fault(
        instance_faults("\"instance\"", "\"x\": 1, \"instance\""), "/x", "1",
        "listen");
}

Test(settings, a_wrong_type_is_an_error)
{
    expect_single_fault(deployment_faults("\"standard\"", "3"),
                        "/classes/0/tier", "3", "interactive, standard, batch");
    expect_single_fault(
        deployment_faults("[{\"name\": \"w\", \"team\": \"t\"}]", "{}"),
        "/workspaces", "{}", "a list of objects");
    expect_single_fault(deployment_faults("\"id\"", "\"slots\": \"8\", \"id\""),
                        "/backend_servers/0/slots", "\"8\"", "1 to 65536");
}

Test(settings, a_value_out_of_range_is_an_error)
{
    expect_single_fault(
        deployment_faults("\"team\"", "\"weight\": 0, \"team\""),
        "/workspaces/0/weight", "0", "0.001 to 1000");
    expect_single_fault(
        instance_faults("\"instance\"", "\"backend_lanes\": 0, \"instance\""),
        "/backend_lanes", "0", "1 to 16384");
    expect_single_fault(
        instance_faults("\"instance\"", "\"backend_lanes\": -1, \"instance\""),
        "/backend_lanes", "-1", "1 to 16384");
}

Test(settings, a_missing_unit_is_an_error)
{
    expect_single_fault(
        deployment_faults("\"tier\"", "\"deadline\": 60, \"tier\""),
        "/classes/0/deadline", "60", "unit");
    expect_single_fault(
        deployment_faults("\"tier\"", "\"deadline\": \"60\", \"tier\""),
        "/classes/0/deadline", "\"60\"", "unit");
    expect_single_fault(
        instance_faults("\"instance\"",
                        "\"front\": {\"max_body\": 65536}, \"instance\""),
        "/front/max_body", "65536", "unit");
}

Test(settings, a_duplicate_name_is_an_error)
{
    expect_single_fault(
        deployment_faults("{\"name\": \"s\"", "{\"name\": \"c\""),
        "/classes/1/name", "\"c\"", "/classes/0");
    expect_single_fault(
        deployment_faults("{\"name\": \"t\"}",
                          "{\"name\": \"t\"}, {\"name\": \"t\"}"),
        "/teams/1/name", "\"t\"", "/teams/0");
}

Test(settings, a_repeated_key_is_an_error)
{
    expect_single_fault(
        deployment_faults("\"tier\": \"standard\"},",
                          "\"tier\": \"standard\", \"tier\": \"batch\"},"),
        "/classes/0/tier", "twice", "once");
}

Test(settings, an_unknown_reference_is_an_error)
{
    expect_single_fault(deployment_faults("\"team\": \"t\"", "\"team\": \"z\""),
                        "/workspaces/0/team", "\"z\"", "team");
    expect_single_fault(deployment_faults("[\"m\"]", "[\"m\", \"z\"]"),
                        "/backend_servers/0/serves/1", "\"z\"", "model");
    expect_single_fault(
        deployment_faults("\"region\": \"r\"", "\"region\": \"z\""),
        "/backend_servers/0/location/region", "\"z\"", "region");
    expect_single_fault(deployment_faults("\"failure_domain\": \"r-1\"",
                                          "\"failure_domain\": \"z\""),
                        "/backend_servers/0/location/failure_domain", "\"z\"",
                        "failure domain");
    expect_single_fault(
        deployment_faults("\"serves\": [\"m\"]",
                          "\"kind\": \"service\", \"serves\": [\"c\"]"),
        "/backend_servers/0/serves/0", "\"c\"", "class of kind service");
}

Test(settings, a_missing_required_setting_is_an_error)
{
    expect_single_fault(
        deployment_faults("{\"name\": \"m\"}", "{}, {\"name\": \"m\"}"),
        "/models/0/name", "nothing", "required");
    expect_single_fault(instance_faults("\"region\": \"r\",", ""),
                        "/location/region", "nothing", "required");
}

Test(settings, a_secret_is_not_shown_in_a_fault)
{
    expect_single_fault(instance_faults("0123456789abcdef", "short"),
                        "/peer_key", "(not shown)", "16 characters");
}

Test(settings, a_host_name_is_refused_as_an_endpoint)
{
    expect_single_fault(deployment_faults("127.0.0.1:1", "localhost:1"),
                        "/backend_servers/0/endpoint", "localhost",
                        "IP number");
}

Test(settings, all_faults_are_reported)
{
    const auto faults = faults_of(settings::parse_deployment(R"({
        "classes": [{"name": "c", "tier": "gold", "deadline": 5},
                    {"name": "c", "tier": "batch", "max_attempts": 0}],
        "workspaces": [{"name": "w", "team": "nobody"}], "extra": true })"));
    std::vector<std::string> paths;
    std::ranges::transform(faults, std::back_inserter(paths),
                           &core::settings_error::path);
    const std::vector<std::string> expected{
        "/classes/0/tier", "/classes/0/deadline", "/classes/1/max_attempts",
        "/extra",          "/classes/1/name",     "/workspaces/0/team"};
    cr_assert(paths == expected);
}

Test(settings, malformed_json_is_reported_with_its_position)
{
    expect_single_fault(
        faults_of(settings::parse_deployment("{ \"teams\": [ }")), "/",
        "line 1", "JSON with comments");
    expect_single_fault(faults_of(settings::parse_deployment("[]")), "/", "[]",
                        "an object");
}

Test(settings, a_routing_table_holds_classes_and_servers)
{
    const auto value = std::get<settings::deployment>(
        settings::parse_deployment(minimal_deployment));
    const auto table = settings::make_routing_table(value, 7);
    cr_assert_eq(table.version, 7);
    cr_assert(table.classes == value.classes);
    cr_assert(table.servers == value.backend_servers);
}

Test(settings, formatted_units_parse_to_the_same_value)
{
    const bool durations_match = rc::check("durations", [] {
        const auto value =
            absl::Milliseconds(*rc::gen::inRange<std::int64_t>(0, 1LL << 40));
        RC_ASSERT(settings::parse_duration(settings::format_duration(value)) ==
                  value);
    });
    const bool sizes_match = rc::check("sizes", [] {
        const auto value = *rc::gen::arbitrary<std::uint64_t>();
        RC_ASSERT(settings::parse_bytes(settings::format_bytes(value)) ==
                  value);
    });
    cr_assert(durations_match && sizes_match);
    cr_assert_not(settings::parse_duration("inf").has_value());
    cr_assert_not(settings::parse_duration("-1s").has_value());
    cr_assert_not(settings::parse_duration("0").has_value());
    cr_assert_not(settings::parse_bytes("99999999999999GiB").has_value());
}

// Faults quote what was found; printing a value that was nested too deep
// overflowed the stack.
Test(settings, what_is_nested_too_deep_is_a_fault)
{
    const std::string nested =
        std::string(200000, '[') + std::string(200000, ']');
    const auto parsed =
        settings::parse_deployment(R"({"classes":)" + nested + "}");
    const auto* faults = std::get_if<errors>(&parsed);
    cr_assert(faults != nullptr);
    cr_assert_eq(faults->size(), 1);
}

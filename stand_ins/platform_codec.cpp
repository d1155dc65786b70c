#include "stand_ins/platform_codec.hpp"

#include "stand_ins/http_host.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>

namespace oriolefall::stand_ins {

namespace {

using nlohmann::json;

constexpr std::size_t largest_value_bytes = 1024UL * 1024UL;
constexpr std::uint64_t longest_watch_ms = 60'000;

/// The number in `text`, which may stand in quotes as an entity tag does.
std::optional<std::uint64_t> number(std::string_view text)
{
    const auto first = std::ranges::find_if_not(
        text, [](char letter) { return letter == '"'; });
    text.remove_prefix(static_cast<std::size_t>(first - text.begin()));
    std::uint64_t value = 0;
    const auto [end, failed] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (failed != std::errc{})
        return std::nullopt;
    return value;
}

write_condition parse_condition(const httplib::Request& request)
{
    write_condition condition;
    if (request.has_header("If-Match"))
        condition.version =
            number(request.get_header_value("If-Match")).value_or(0);
    condition.absent = request.get_header_value("If-None-Match") == "*";
    return condition;
}

json to_json(const object_version& object)
{
    return {{"path", object.path},
            {"version", object.version},
            {"value", object.value ? json::parse(*object.value) : json()}};
}

json to_json(const std::vector<object_version>& objects)
{
    json list = json::array();
    std::ranges::transform(
        objects, std::back_inserter(list),
        [](const object_version& object) { return to_json(object); });
    return list;
}

json to_json(const instance_record& record)
{
    return {
        {"id", record.id},         {"address", record.address},
        {"port", record.port},     {"peer_port", record.peer_port},
        {"region", record.region}, {"failure_domain", record.failure_domain},
        {"state", record.state}};
}

/// Writes each kind of reply to an HTTP response.
struct reply_writer
{
    httplib::Response& response;

    void ok(const json& body) const
    {
        response.set_content(body.dump(), "application/json");
    }
    void refuse(int status, std::string_view type) const
    {
        response.set_header("Retry-After", "1");
        set_error(response, status, type, "try again later");
    }

    void operator()(const not_found&) const
    {
        set_error(response, 404, "not_found", "no such object");
    }
    void operator()(const object_version& object) const
    {
        ok(to_json(object));
    }
    void operator()(const object_listing& listing) const
    {
        ok({{"revision", listing.revision},
            {"objects", to_json(listing.objects)}});
    }
    void operator()(const write_done& done) const
    {
        ok({{"version", done.version}});
    }
    void operator()(const write_conflict& conflict) const
    {
        response.status = 412;
        ok({{"version", conflict.current}});
    }
    void operator()(const change_listing& changes) const
    {
        ok({{"revision", changes.revision},
            {"events", to_json(changes.events)}});
    }
    void operator()(const revision_gone&) const
    {
        set_error(response, 410, "revision_gone", "the revision is too old");
    }
    void operator()(const rate_limited&) const
    {
        refuse(429, "rate_limited");
    }
    void operator()(const platform_down&) const
    {
        refuse(503, "outage");
    }
    void operator()(const answer_lost&) const
    {
        // The connection is cut; nothing is written.
    }
    void operator()(const std::vector<instance_record>& instances) const
    {
        json list = json::array();
        std::ranges::transform(
            instances, std::back_inserter(list),
            [](const instance_record& record) { return to_json(record); });
        ok({{"instances", list}});
    }
    void operator()(const instance_told&) const
    {
        ok(json::object());
    }
};

void change_from_json(platform_faults& faults, const json& body)
{
    const auto set_ms = [&](const char* key, absl::Duration& member) {
        if (body.contains(key))
            member = absl::Milliseconds(body.at(key).get<double>());
    };
    faults.outage = body.value("outage", faults.outage);
    faults.lose_answers = body.value("lose_answers", faults.lose_answers);
    faults.silent_watch = body.value("silent_watch", faults.silent_watch);
    faults.stale_reads = body.value("stale_reads", faults.stale_reads);
    faults.rate_per_s = body.value("rate_per_s", faults.rate_per_s);
    set_ms("slow_ms", faults.slow);
    set_ms("instances_lag_ms", faults.instances_lag);
}

} // namespace

parsed_write parse_write(const httplib::Request& request,
                         const std::string& path)
{
    try {
        std::string value = json::parse(request.body).at("value").dump();
        if (value.size() > largest_value_bytes)
            return value_too_large{};
        return write_object{path, std::move(value), parse_condition(request)};
    } catch (const json::exception& error) {
        return body_error{error.what()};
    }
}

write_object parse_erase(const httplib::Request& request,
                         const std::string& path)
{
    return {path, std::nullopt, parse_condition(request)};
}

watch_objects parse_watch(const httplib::Request& request)
{
    const std::uint64_t timeout_ms =
        number(request.get_param_value("timeout_ms")).value_or(0);
    return {request.get_param_value("prefix"),
            number(request.get_param_value("from")).value_or(0),
            absl::Milliseconds(std::min(timeout_ms, longest_watch_ms))};
}

std::variant<tell_instance, body_error> parse_instance(const std::string& body,
                                                       const std::string& id)
{
    try {
        const json told = json::parse(body);
        instance_record record;
        record.id = id;
        record.address = told.at("address").get<std::string>();
        record.port = told.at("port").get<std::uint16_t>();
        record.peer_port = told.value("peer_port", record.peer_port);
        record.region = told.value("region", "");
        record.failure_domain = told.value("failure_domain", "");
        record.state = told.value("state", record.state);
        if (told.contains("ttl_ms"))
            record.time_to_live =
                absl::Milliseconds(told.at("ttl_ms").get<double>());
        return tell_instance{std::move(record)};
    } catch (const json::exception& error) {
        return body_error{error.what()};
    }
}

std::variant<platform_fault_change, body_error>
parse_platform_faults(const std::string& body)
{
    try {
        const json change = json::parse(body);
        platform_faults checked;
        change_from_json(checked, change);
        return platform_fault_change([change](platform_faults& faults) {
            change_from_json(faults, change);
        });
    } catch (const json::exception& error) {
        return body_error{error.what()};
    }
}

void set_reply(httplib::Response& response, const platform_reply& reply)
{
    std::visit(reply_writer{response}, reply);
}

json to_json(const platform_faults& faults)
{
    return {
        {"outage", faults.outage},
        {"slow_ms", absl::ToDoubleMilliseconds(faults.slow)},
        {"lose_answers", faults.lose_answers},
        {"silent_watch", faults.silent_watch},
        {"stale_reads", faults.stale_reads},
        {"rate_per_s", faults.rate_per_s},
        {"instances_lag_ms", absl::ToDoubleMilliseconds(faults.instances_lag)}};
}

json to_json(const platform_stats& stats)
{
    return {{"reads", stats.reads},
            {"writes", stats.writes},
            {"watches", stats.watches},
            {"refused", stats.refused},
            {"lost_answers", stats.lost_answers}};
}

} // namespace oriolefall::stand_ins

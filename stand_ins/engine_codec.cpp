#include "stand_ins/engine_codec.hpp"

#include "stand_ins/answer_text.hpp"
#include "stand_ins/prefix_cache.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace oriolefall::stand_ins {

namespace {

using nlohmann::json;

constexpr std::uint32_t default_max_tokens = 256;
constexpr int lowest_priority = 2;

std::optional<std::uint32_t> header_number(const httplib::Request& request,
                                           const char* name)
{
    const std::string text = request.get_header_value(name);
    std::uint32_t value = 0;
    const auto [end, failed] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || failed != std::errc{})
        return std::nullopt;
    return value;
}

std::int64_t whole_ms(absl::Duration duration)
{
    return absl::ToInt64Milliseconds(duration);
}

json finish_choice(bool limited)
{
    return {{"index", 0},
            {"delta", json::object()},
            {"finish_reason", limited ? "length" : "stop"}};
}

/// The length that a test gives the answer; nothing when it has none.
std::optional<std::uint32_t> wanted_length(const json& body)
{
    const auto metadata = body.find("metadata");
    if (metadata == body.end() || !metadata->contains("output_tokens"))
        return std::nullopt;
    return metadata->at("output_tokens").get<std::uint32_t>();
}

generation_request decode_generation(const httplib::Request& http,
                                     const json& body)
{
    const std::string prompt = body.at("messages").dump();
    const std::uint32_t limit =
        body.value<std::uint32_t>("max_tokens", default_max_tokens);
    generation_request request;
    request.seed = answer_seed(prompt);
    request.stream = body.value("stream", false);
    const std::uint32_t natural =
        wanted_length(body).value_or(natural_length(request.seed));
    request.limited = natural >= limit;
    generation_order& order = request.order;
    order.model = body.at("model").get<std::string>();
    order.length = std::min(natural, limit);
    order.prompt_tokens = prompt_tokens(prompt.size());
    order.prefix_blocks = prefix_blocks(prompt);
    order.priority = std::min<int>(
        static_cast<int>(header_number(http, "X-Priority").value_or(1)),
        lowest_priority);
    if (const auto last = header_number(http, "Last-Event-ID"))
        order.first_index = std::min(*last + 1, order.length);
    return request;
}

void change_from_json(engine_faults& faults, const json& body)
{
    const auto set_optional = [&](const char* key, auto& member) {
        if (!body.contains(key))
            return;
        if (body.at(key).is_null())
            member.reset();
        else
            member = body.at(key).get<std::uint32_t>();
    };
    faults.straggle = body.value("straggle", faults.straggle);
    faults.refuse = body.value("refuse", faults.refuse);
    faults.lag = absl::Milliseconds(body.value("lag_ms", whole_ms(faults.lag)));
    set_optional("crash_after_tokens", faults.crash_after_tokens);
    set_optional("silent_after_tokens", faults.silent_after_tokens);
    set_optional("lie_running", faults.lie_running);
}

template <class T>
json optional_number(const std::optional<T>& value)
{
    return value ? json(*value) : json();
}

} // namespace

std::variant<generation_request, body_error>
parse_generation(const httplib::Request& request)
{
    try {
        return decode_generation(request, json::parse(request.body));
    } catch (const json::exception& error) {
        return body_error{error.what()};
    }
}

std::variant<model_order, body_error> parse_order(const std::string& body)
{
    try {
        const json order = json::parse(body);
        const std::string kind = order.at("order").get<std::string>();
        if (kind != "load_model" && kind != "unload_model")
            return body_error{"order: unknown: " + kind};
        return model_order{kind == "load_model" ? order_kind::load_model
                                                : order_kind::unload_model,
                           order.at("model").get<std::string>(),
                           order.value<std::uint64_t>("fencing_number", 0)};
    } catch (const json::exception& error) {
        return body_error{error.what()};
    }
}

std::variant<fault_change, body_error>
parse_engine_faults(const std::string& body)
{
    try {
        const json change = json::parse(body);
        engine_faults checked;
        change_from_json(checked, change);
        return fault_change([change](engine_faults& faults) {
            change_from_json(faults, change);
        });
    } catch (const json::exception& error) {
        return body_error{error.what()};
    }
}

std::string token_event(std::uint32_t index, std::string_view text)
{
    const json choice{{"index", 0},
                      {"delta", {{"content", text}}},
                      {"finish_reason", nullptr}};
    return "id: " + std::to_string(index) +
           "\ndata: " + json{{"choices", {choice}}}.dump() + "\n\n";
}

std::string end_events(bool limited)
{
    const json last{{"choices", {finish_choice(limited)}}};
    return "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
}

std::string whole_answer(const generation_request& request,
                         std::string_view text)
{
    const json choice{{"index", 0},
                      {"message", {{"role", "assistant"}, {"content", text}}},
                      {"finish_reason", request.limited ? "length" : "stop"}};
    const json body{{"object", "chat.completion"},
                    {"model", request.order.model},
                    {"choices", {choice}},
                    {"usage",
                     {{"prompt_tokens", request.order.prompt_tokens},
                      {"completion_tokens", request.order.length}}}};
    return body.dump();
}

json to_json(const engine_load& load)
{
    return {{"running", load.running},
            {"queued", load.queued},
            {"cache_used", load.cache_used},
            {"age_ms", whole_ms(load.age)}};
}

json to_json(const engine_stats& stats)
{
    json body{{"started", stats.started},
              {"completed", stats.completed},
              {"cancelled", stats.cancelled},
              {"refused", stats.refused},
              {"broken", stats.broken},
              {"tokens_computed", stats.tokens_computed},
              {"tokens_wasted", stats.tokens_wasted},
              {"tokens_by_priority", stats.tokens_by_priority},
              {"prefill_tokens_computed", stats.prefill_tokens_computed},
              {"prefill_tokens_cached", stats.prefill_tokens_cached},
              {"running", stats.running},
              {"queued", stats.queued},
              {"last_start_ms_ago", nullptr}};
    if (stats.since_last_start)
        body["last_start_ms_ago"] = whole_ms(*stats.since_last_start);
    return body;
}

json to_json(const model_list& models)
{
    return {{"models", models.loaded}, {"loading", models.loading}};
}

json to_json(const engine_faults& faults)
{
    return {
        {"straggle", faults.straggle},
        {"refuse", faults.refuse},
        {"lag_ms", whole_ms(faults.lag)},
        {"crash_after_tokens", optional_number(faults.crash_after_tokens)},
        {"silent_after_tokens", optional_number(faults.silent_after_tokens)},
        {"lie_running", optional_number(faults.lie_running)}};
}

void set_load_headers(httplib::Response& response, const engine_load& load)
{
    response.set_header("X-Load-Running", std::to_string(load.running));
    response.set_header("X-Load-Queued", std::to_string(load.queued));
    response.set_header("X-Load-Cache-Used", std::to_string(load.cache_used));
    response.set_header("X-Load-Age-Ms", std::to_string(whole_ms(load.age)));
}

} // namespace oriolefall::stand_ins

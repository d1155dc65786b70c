#include "oriolefall/backend/order_lane.hpp"

#include "oriolefall/core/clock.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace oriolefall::backend {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

void set_limits(httplib::Client& client, absl::Duration limit)
{
    client.set_connection_timeout(absl::ToChronoMicroseconds(limit));
    client.set_read_timeout(absl::ToChronoMicroseconds(limit));
    client.set_write_timeout(absl::ToChronoMicroseconds(limit));
}

order_answer parse_answer(const httplib::Result& result)
{
    if (result && result->status == status_conflict)
        return order_answer::refused;
    if (!result || result->status != status_ok)
        return order_answer::failed;
    const json body = json::parse(result->body, nullptr, false);
    if (!body.is_object())
        return order_answer::failed;
    return body.value("state", "") == "loaded" ? order_answer::loaded
                                               : order_answer::loading;
}

/// Requests that run or wait at the engine; nothing when it did not say.
std::optional<std::uint64_t> parse_load(const httplib::Result& result)
{
    if (!result || result->status != status_ok)
        return std::nullopt;
    const json body = json::parse(result->body, nullptr, false);
    const bool has_both = body.is_object() && body.contains("running") &&
                          body.contains("queued") &&
                          body["running"].is_number_unsigned() &&
                          body["queued"].is_number_unsigned();
    if (!has_both)
        return std::nullopt;
    return body["running"].get<std::uint64_t>() +
           body["queued"].get<std::uint64_t>();
}

} // namespace

order_lane::order_lane(std::size_t capacity, absl::Duration limit)
    : limit_(limit), orders_(capacity), thread_("orders", [this] { run(); })
{
}

order_lane::~order_lane()
{
    orders_.close();
    while (orders_.size() > 0)
        static_cast<void>(orders_.pop());
    thread_.join();
}

bool order_lane::submit(engine_order order)
{
    return orders_.try_push(std::move(order));
}

void order_lane::run()
{
    while (const auto order = orders_.pop())
        std::visit([this](const auto& some) { carry_out(some); }, *order);
}

void order_lane::carry_out(const load_order& order) const
{
    if (core::monotonic_now() >= order.send_before) {
        order.done(order_answer::failed);
        return;
    }
    httplib::Client client(order.endpoint.address, order.endpoint.port);
    set_limits(client, limit_);
    const json body{{"order", "load_model"},
                    {"model", order.model.value()},
                    {"fencing_number", order.fencing_number}};
    order.done(
        parse_answer(client.Post("/orders", body.dump(), "application/json")));
}

void order_lane::carry_out(const load_question& question) const
{
    httplib::Client client(question.endpoint.address, question.endpoint.port);
    set_limits(client, limit_);
    if (const auto running = parse_load(client.Get("/load")))
        question.done(*running);
}

} // namespace oriolefall::backend

#include "oriolefall/objects/client.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/http_call/bounded_call.hpp"
#include "oriolefall/objects/http_status.hpp"
#include "oriolefall/objects/wire.hpp"

#include <absl/strings/numbers.h>

#include <httplib.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cctype>
#include <random>
#include <utility>

namespace oriolefall::objects {

namespace {

/// Maximum size of an answer, such as a list of all objects.
constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;

/// Failure that a status code stands for; empty when the call was served.
std::optional<failure> failure_of_status(int status)
{
    if (status == http_status::too_many_requests)
        return failure::rate_limited;
    if (status == http_status::service_unavailable)
        return failure::outage;
    if (status >= http_status::first_server_error)
        return failure::bad_answer;
    return std::nullopt;
}

/// Distinguishes the writes of this client from those of another client with
/// the same write id prefix.
std::uint64_t draw_incarnation()
{
    std::random_device source;
    constexpr unsigned word_bits = 32;
    return (std::uint64_t{source()} << word_bits) | source();
}

bool is_success(int status)
{
    return status < http_status::first_error;
}

absl::Duration parse_retry_after(const httplib::Response& response)
{
    double seconds = 0.0;
    if (!absl::SimpleAtod(response.get_header_value("Retry-After"), &seconds))
        return absl::ZeroDuration();
    return absl::Seconds(std::max(0.0, seconds));
}

httplib::Headers condition_headers(const write_condition& condition)
{
    if (std::holds_alternative<if_absent>(condition))
        return {{"If-None-Match", "*"}};
    if (const auto* expected = std::get_if<if_version>(&condition))
        return {{"If-Match", core::concat(expected->version)}};
    return {};
}

std::string object_target(const std::string& path)
{
    return core::concat("/objects", path);
}

/// True when the path may stand in a URL unescaped. Paths contain no other
/// characters.
bool is_valid_path(const std::string& path)
{
    return path.starts_with('/') &&
           std::ranges::all_of(path, [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '/' ||
                      character == '.' || character == '_' || character == '-';
           });
}

} // namespace

std::string_view to_string(call_type value)
{
    constexpr std::array<std::string_view, 7> names{
        "read", "list", "write", "read_back", "watch", "instances", "announce"};
    const auto index = static_cast<std::size_t>(value);
    assert(index < names.size());
    return names[index];
}

client::client(client_settings settings)
    : settings_(std::move(settings)),
      limiter_(settings_.calls_per_second, settings_.burst),
      incarnation_(draw_incarnation()),
      http_(std::make_unique<httplib::Client>(settings_.endpoint.address,
                                              settings_.endpoint.port))
{
    http_->set_keep_alive(true);
    http_->set_tcp_nodelay(true);
    http_->set_connection_timeout(
        absl::ToChronoMicroseconds(settings_.connect_timeout));
    http_->set_socket_options([this](auto) { shorten_timeouts_if_stopped(); });
    http_->set_write_timeout(absl::ToChronoMicroseconds(settings_.io_timeout));
}

client::~client() = default;

void client::shorten_timeouts_if_stopped()
{
    // `http_->stop()` closes only a connection that is already open.
    if (stop_.wait(absl::ZeroDuration()))
        return;
    http_->set_connection_timeout(std::chrono::microseconds(1));
    http_->set_read_timeout(std::chrono::microseconds(1));
}

void client::stop()
{
    stop_.stop();
    http_->stop();
}

read_result client::read(const std::string& path)
{
    if (!is_valid_path(path))
        return not_found{};
    const auto result =
        call_with_retries(call_type::read, get_call(object_target(path)));
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    const auto& answer = std::get<http_answer>(result);
    if (answer.status == http_status::not_found)
        return not_found{};
    auto object = wire::parse_object(answer.body);
    if (!object)
        return unavailable{failure::bad_answer};
    return std::move(*object);
}

list_result client::list(const std::string& prefix)
{
    if (!is_valid_path(prefix))
        return object_list{};
    const auto result =
        call_with_retries(call_type::list, get_call("/list?prefix=" + prefix));
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    auto parsed = wire::parse_list(std::get<http_answer>(result).body);
    if (!parsed)
        return unavailable{failure::bad_answer};
    return std::move(*parsed);
}

instances_result client::instances()
{
    const auto result =
        call_with_retries(call_type::instances, get_call("/instances"));
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    auto parsed = wire::parse_instances(std::get<http_answer>(result).body);
    if (!parsed)
        return unavailable{failure::bad_answer};
    return std::move(*parsed);
}

watch_result client::watch(const std::string& prefix, std::uint64_t from,
                           absl::Duration timeout)
{
    const std::string target =
        core::concat("/watch?prefix=", prefix, "&from=", from,
                     "&timeout_ms=", absl::ToInt64Milliseconds(timeout));
    const raw_result result = call_once(call_type::watch, [&] {
        return get(target, timeout + settings_.watch_grace);
    });
    if (const auto* error = std::get_if<not_sent>(&result))
        return unavailable{error->cause};
    if (std::holds_alternative<no_answer>(result))
        return watch_timed_out{};
    const auto& answer = std::get<http_answer>(result);
    if (answer.status == http_status::gone)
        return history_gone{};
    if (!is_success(answer.status))
        return to_unavailable(answer);
    auto changes = wire::parse_changes(answer.body);
    if (!changes)
        return unavailable{failure::bad_answer};
    return std::move(*changes);
}

write_result client::put(const std::string& path, const std::string& value,
                         const write_condition& condition)
{
    if (!is_valid_path(path))
        return rejected{"the path holds a character that is not allowed"};
    const std::string id = next_write_id();
    const auto body = wire::print_put(value, id, expected_version(condition));
    if (!body)
        return rejected{"the value is not a JSON object, or holds a key that "
                        "is reserved"};
    return write(
        call_type::write,
        {path, condition, id, put_call(object_target(path), *body, condition)});
}

write_result client::remove(const std::string& path,
                            const write_condition& condition)
{
    if (!is_valid_path(path))
        return rejected{"the path holds a character that is not allowed"};
    return write(
        call_type::write,
        {path, condition, "", remove_call(object_target(path), condition)});
}

write_result client::announce(const listed_instance& self)
{
    const std::string target = core::concat("/instances/", self.id.value());
    const raw_call send =
        put_call(target, wire::print_instance(self), always{});
    const auto result = call_with_retries(call_type::announce, send);
    if (const auto* error = std::get_if<unavailable>(&result))
        return *error;
    const auto version =
        wire::parse_version(std::get<http_answer>(result).body);
    return written{version.value_or(0)};
}

object_store client::as_object_store()
{
    object_store store;
    store.read = [this](const auto& path) { return read(path); };
    store.list = [this](const auto& prefix) { return list(prefix); };
    store.put = [this](const auto& path, const auto& value,
                       const auto& condition) {
        return put(path, value, condition);
    };
    store.remove = [this](const auto& path, const auto& condition) {
        return remove(path, condition);
    };
    store.watch = [this](const auto& prefix, std::uint64_t from,
                         absl::Duration timeout) {
        return watch(prefix, from, timeout);
    };
    store.instances = [this] { return instances(); };
    store.announce = [this](const auto& self) { return announce(self); };
    return store;
}

namespace {

/// Converts a result of the HTTP library.
template <class Raw, class Answer, class NotSent, class NoAnswer>
Raw to_raw_result(const httplib::Result& result)
{
    if (result)
        return Answer{result->status, result->body, parse_retry_after(*result)};
    const bool was_connected =
        result.error() != httplib::Error::Connection &&
        result.error() != httplib::Error::ConnectionTimeout;
    if (!was_connected)
        return NotSent{};
    return NoAnswer{};
}

} // namespace

client::raw_result client::get(const std::string& target,
                               absl::Duration io_timeout)
{
    http_->set_read_timeout(absl::ToChronoMicroseconds(io_timeout));
    return to_raw_result<raw_result, http_answer, not_sent, no_answer>(
        http_call::send_bounded(*http_, http_call::make_request("GET", target),
                                max_answer_bytes));
}

client::raw_call client::get_call(const std::string& target)
{
    return [this, target] { return get(target, settings_.io_timeout); };
}

client::raw_call client::put_call(const std::string& target,
                                  const std::string& body,
                                  const write_condition& condition)
{
    return [this, target, body, headers = condition_headers(condition)] {
        http_->set_read_timeout(
            absl::ToChronoMicroseconds(settings_.io_timeout));
        return to_raw_result<raw_result, http_answer, not_sent, no_answer>(
            http_call::send_bounded(
                *http_, http_call::make_request("PUT", target, headers, body),
                max_answer_bytes));
    };
}

client::raw_call client::remove_call(const std::string& target,
                                     const write_condition& condition)
{
    return [this, target, headers = condition_headers(condition)] {
        http_->set_read_timeout(
            absl::ToChronoMicroseconds(settings_.io_timeout));
        return to_raw_result<raw_result, http_answer, not_sent, no_answer>(
            http_call::send_bounded(
                *http_, http_call::make_request("DELETE", target, headers),
                max_answer_bytes));
    };
}

client::raw_result client::call_once(call_type type, const raw_call& send)
{
    const absl::Duration wait = limiter_.reserve(settings_.clock());
    if (!stop_.wait(wait))
        return not_sent{failure::stopped};
    raw_result result = send();
    call_record record{type, std::nullopt};
    if (const auto* error = std::get_if<not_sent>(&result))
        record.failure_cause = error->cause;
    else if (std::holds_alternative<no_answer>(result))
        record.failure_cause = failure::no_answer;
    else
        record.failure_cause =
            failure_of_status(std::get<http_answer>(result).status);
    if (settings_.on_call)
        settings_.on_call(record);
    return result;
}

std::variant<client::http_answer, unavailable>
client::call_with_retries(call_type type, const raw_call& send)
{
    unavailable last_error;
    for (std::uint32_t attempt = 0; attempt < settings_.max_attempts;
         ++attempt) {
        if (attempt > 0 &&
            !wait_before_retry(attempt - 1, last_error.retry_after))
            return unavailable{failure::stopped};
        raw_result result = call_once(type, send);
        if (const auto* error = std::get_if<not_sent>(&result)) {
            last_error = unavailable{error->cause};
            continue;
        }
        if (std::holds_alternative<no_answer>(result)) {
            last_error = unavailable{failure::no_answer};
            continue;
        }
        auto& answer = std::get<http_answer>(result);
        if (is_success(answer.status) ||
            answer.status == http_status::not_found)
            return std::move(answer);
        last_error = to_unavailable(answer);
    }
    return last_error;
}

unavailable client::to_unavailable(const http_answer& answer)
{
    return {failure_of_status(answer.status).value_or(failure::bad_answer),
            answer.retry_after};
}

bool client::wait_before_retry(std::uint32_t retry, absl::Duration retry_after)
{
    const absl::Duration backoff =
        backoff_delay(settings_.backoff, retry, settings_.random);
    const absl::Duration requested =
        std::min(retry_after, settings_.max_retry_after);
    return stop_.wait(requested + backoff);
}

std::string client::next_write_id()
{
    return core::concat(settings_.write_id_prefix, "-", incarnation_, "-",
                        next_write_number_++);
}

} // namespace oriolefall::objects

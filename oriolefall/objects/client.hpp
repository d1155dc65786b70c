#ifndef ORIOLEFALL_OBJECTS_CLIENT_HPP
#define ORIOLEFALL_OBJECTS_CLIENT_HPP

#include "oriolefall/objects/client_settings.hpp"
#include "oriolefall/objects/object_store.hpp"
#include "oriolefall/objects/rate_limiter.hpp"
#include "oriolefall/objects/stop_signal.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace httplib {
class Client;
} // namespace httplib

namespace oriolefall::objects {

/// Client of the platform's object API over HTTP (docs/STAND_INS.md). Failed
/// calls are retried with backoff, within a rate limit. A write whose answer
/// was lost is resolved by reading back the write id that was stored in the
/// object; it is never reported as failed while it may have taken effect.
/// Not thread-safe, except for `stop`: each duty has a client of its own.
class client
{
public:
    explicit client(client_settings settings);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    [[nodiscard]] read_result read(const std::string& path);
    [[nodiscard]] list_result list(const std::string& prefix);
    /// `value`: text of a JSON object without the keys "write_id" and
    /// "replaced_version".
    [[nodiscard]] write_result put(const std::string& path,
                                   const std::string& value,
                                   const write_condition& condition);
    [[nodiscard]] write_result remove(const std::string& path,
                                      const write_condition& condition);
    /// Waits up to `timeout` for changes after revision `from`. Not retried:
    /// the caller decides whether to list or to watch next.
    [[nodiscard]] watch_result watch(const std::string& prefix,
                                     std::uint64_t from,
                                     absl::Duration timeout);
    [[nodiscard]] instances_result instances();
    [[nodiscard]] write_result announce(const listed_instance& self);

    /// Aborts the call in progress and refuses all later ones. Thread-safe.
    void stop();

    /// The operations above as hooks, which must not outlive the client.
    [[nodiscard]] object_store as_object_store();

private:
    struct http_answer
    {
        int status = 0;
        std::string body;
        absl::Duration retry_after = absl::ZeroDuration();
    };
    /// No part of the request can have reached the platform.
    struct not_sent
    {
        failure cause = failure::connect_failed;
    };
    /// The request may have reached the platform.
    struct no_answer
    {
    };
    using raw_result = std::variant<http_answer, not_sent, no_answer>;
    using raw_call = std::function<raw_result()>;

    /// A write, with the data needed to resolve a lost answer.
    struct pending_write
    {
        std::string path;
        write_condition condition;
        /// Empty for a deletion.
        std::string write_id;
        raw_call send;
    };

    [[nodiscard]] raw_call get_call(const std::string& target);
    [[nodiscard]] raw_result get(const std::string& target,
                                 absl::Duration io_timeout);
    [[nodiscard]] raw_call put_call(const std::string& target,
                                    const std::string& body,
                                    const write_condition& condition);
    [[nodiscard]] raw_call remove_call(const std::string& target,
                                       const write_condition& condition);
    /// Makes one call within the rate limit and reports it to `on_call`.
    [[nodiscard]] raw_result call_once(call_type type, const raw_call& send);
    /// Retries a call that is safe to repeat until it is answered.
    [[nodiscard]] std::variant<http_answer, unavailable>
    call_with_retries(call_type type, const raw_call& send);
    [[nodiscard]] write_result write(call_type type,
                                     const pending_write& pending);
    /// Result of a write that got `answer`; empty when the write must be
    /// retried.
    [[nodiscard]] std::optional<write_result>
    result_of_answer(const pending_write& pending, const http_answer& answer,
                     bool may_have_applied);
    [[nodiscard]] static unavailable to_unavailable(const http_answer& answer);
    /// Result of a write whose answer was lost; empty when one read does not
    /// show it.
    [[nodiscard]] std::optional<write_result>
    read_back(const pending_write& pending);
    /// Result of a write whose retry found an unexpected version: one that
    /// this write itself created, or that of another write.
    [[nodiscard]] write_result resolve_conflict(const pending_write& pending);
    /// Socket option hook: makes a connection that is opened after `stop` time
    /// out at once. Called on the thread that makes the call.
    void shorten_timeouts_if_stopped();
    /// Returns false when the client was stopped.
    [[nodiscard]] bool wait_before_retry(std::uint32_t retry,
                                         absl::Duration retry_after);
    [[nodiscard]] std::string next_write_id();

    client_settings settings_;
    rate_limiter limiter_;
    stop_signal stop_;
    /// Random, so that no two clients create the same write id.
    std::uint64_t incarnation_;
    std::unique_ptr<httplib::Client> http_;
    std::uint64_t next_write_number_ = 1;
};

} // namespace oriolefall::objects

#endif

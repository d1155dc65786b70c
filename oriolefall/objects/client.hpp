#ifndef ORIOLEFALL_OBJECTS_CLIENT_HPP
#define ORIOLEFALL_OBJECTS_CLIENT_HPP

#include "oriolefall/objects/call_budget.hpp"
#include "oriolefall/objects/client_settings.hpp"
#include "oriolefall/objects/object_store.hpp"
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

/// Calls the platform's object API over HTTP (docs/STAND_INS.md). Each call
/// repeats what failed, with backoff, within a budget of calls. A write whose
/// answer was lost is resolved by reading back the write id that was put into
/// the object; it is never told as failed while it may have taken effect.
/// One thread, but for `stop`: each duty has a client of its own.
class client
{
public:
    explicit client(client_settings settings);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    [[nodiscard]] read_result read(const std::string& path);
    [[nodiscard]] list_result list(const std::string& prefix);
    /// `value`: JSON text of an object without the keys "write_id" and
    /// "replaced_version".
    [[nodiscard]] write_result put(const std::string& path,
                                   const std::string& value,
                                   const write_condition& condition);
    [[nodiscard]] write_result remove(const std::string& path,
                                      const write_condition& condition);
    /// Waits for changes after `from`, `limit` at most. Not repeated: the
    /// caller decides whether to list or to watch again.
    [[nodiscard]] watch_result watch(const std::string& prefix,
                                     std::uint64_t from, absl::Duration limit);
    [[nodiscard]] instances_result instances();
    [[nodiscard]] write_result announce(const listed_instance& self);

    /// Ends the call under way and refuses all later ones. Any thread.
    void stop();

    /// The same calls as hooks; they must not outlive the client.
    [[nodiscard]] object_store as_object_store();

private:
    struct http_answer
    {
        int status = 0;
        std::string body;
        absl::Duration retry_after = absl::ZeroDuration();
    };
    /// Nothing of the call can have reached the platform.
    struct not_sent
    {
        failure cause = failure::connect_failed;
    };
    /// The call may have reached the platform.
    struct no_answer
    {
    };
    using raw_result = std::variant<http_answer, not_sent, no_answer>;
    using raw_call = std::function<raw_result()>;

    /// A write with what is needed to resolve a lost answer.
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
                                 absl::Duration answer_limit);
    [[nodiscard]] raw_call put_call(const std::string& target,
                                    const std::string& body,
                                    const write_condition& condition);
    [[nodiscard]] raw_call remove_call(const std::string& target,
                                       const write_condition& condition);
    /// Makes one call within the budget and notes it.
    [[nodiscard]] raw_result call(call_type type, const raw_call& send);
    /// Repeats a call that changes nothing until it has an answer.
    [[nodiscard]] std::variant<http_answer, unavailable>
    repeat(call_type type, const raw_call& send);
    [[nodiscard]] write_result write(call_type type,
                                     const pending_write& order);
    /// The result that an answer to a write gives; nothing when it is to be
    /// repeated.
    [[nodiscard]] std::optional<write_result> settle(const pending_write& order,
                                                     const http_answer& answer,
                                                     bool may_have_applied);
    [[nodiscard]] static unavailable refusal_of(const http_answer& answer);
    /// What became of a write, as far as one read can tell.
    [[nodiscard]] std::optional<write_result>
    read_back(const pending_write& order);
    /// A repeat met a version that is not the expected one: this write's own,
    /// or another's.
    [[nodiscard]] write_result resolve_conflict(const pending_write& order);
    /// Runs on the calling thread as a connection is opened.
    void give_up_when_stopped();
    [[nodiscard]] bool pause(std::uint32_t repeat, absl::Duration retry_after);
    [[nodiscard]] std::string next_write_id();

    client_settings settings_;
    call_budget budget_;
    stop_signal stop_;
    /// Drawn at random, so that no two clients share a write id.
    std::uint64_t incarnation_;
    std::unique_ptr<httplib::Client> http_;
    std::uint64_t next_write_ = 1;
};

} // namespace oriolefall::objects

#endif

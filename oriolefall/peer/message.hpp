#ifndef ORIOLEFALL_PEER_MESSAGE_HPP
#define ORIOLEFALL_PEER_MESSAGE_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/dispatch/crash_report.hpp"
#include "oriolefall/dispatch/load_report.hpp"
#include "oriolefall/dispatch/notice_report.hpp"
#include "oriolefall/follow/view_message.hpp"
#include "oriolefall/membership/event.hpp"
#include "oriolefall/membership/member.hpp"
#include "oriolefall/settings/tree_object.hpp"
#include "oriolefall/usage/usage_update.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::peer {

/// Members whose incarnation or state has changed, for example to `leaving`.
struct member_update
{
    std::vector<membership::member> members;
    auto operator<=>(const member_update&) const = default;
};

/// Versions of settings objects that the sender holds: either all of them or
/// only those that have changed.
struct settings_offer
{
    std::vector<settings::path_version> versions;
    auto operator<=>(const settings_offer&) const = default;
};

/// Requests the settings objects at these paths.
struct settings_fetch
{
    std::vector<std::string> paths;
    auto operator<=>(const settings_fetch&) const = default;
};

/// Answers `settings_fetch` with objects as the platform stores them.
struct settings_answer
{
    std::vector<settings::tree_object> objects;
    auto operator<=>(const settings_answer&) const = default;
};

/// Asks the instance that issued an idempotency key for the state of the
/// request with that key.
struct key_query
{
    /// Chosen by the sender and copied into the answer.
    std::uint64_t query_id = 0;
    core::workspace_id workspace;
    core::idempotency_key key;
    auto operator<=>(const key_query&) const = default;
};

/// What the issuer knows about the request with an idempotency key.
enum class key_state : std::uint8_t
{
    unknown,     ///< not issued by this incarnation, so it may have run
    not_run,     ///< it has not run and never will
    in_progress, ///< it is running now
    ran,         ///< it ran; `key_answer` has its status and body
    may_have_run ///< it was sent; its outcome is unknown
};

/// Answers `key_query`.
struct key_answer
{
    std::uint64_t query_id = 0;
    key_state state = key_state::unknown;
    /// HTTP status and body of the answer to the request; set for `ran` only.
    std::uint32_t status = 0;
    std::string body;
    auto operator<=>(const key_answer&) const = default;
};

/// Any message between instances. Delivery is not guaranteed. The index of an
/// alternative is its kind on the wire.
using message = std::variant<
    membership::heartbeat, member_update, membership::member_buckets,
    settings_offer, settings_fetch, settings_answer, dispatch::load_report,
    key_query, key_answer, follow::view_query, follow::view_update,
    dispatch::crash_report, dispatch::notice_report, usage::usage_update>;

} // namespace oriolefall::peer

#endif

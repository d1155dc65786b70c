#ifndef ORIOLEFALL_PEER_MESSAGE_HPP
#define ORIOLEFALL_PEER_MESSAGE_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/dispatch/load_report.hpp"
#include "oriolefall/membership/event.hpp"
#include "oriolefall/membership/member.hpp"
#include "oriolefall/settings/tree_object.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::peer {

/// Members whose incarnation or state has changed; the leaving mark is one.
struct member_update
{
    std::vector<membership::member> members;
    auto operator<=>(const member_update&) const = default;
};

/// Versions of settings objects that the sender has in force: those that
/// changed, or all.
struct settings_offer
{
    std::vector<settings::path_version> versions;
    auto operator<=>(const settings_offer&) const = default;
};

/// Asks for objects.
struct settings_fetch
{
    std::vector<std::string> paths;
    auto operator<=>(const settings_fetch&) const = default;
};

/// Objects as the platform holds them; answers `settings_fetch`.
struct settings_answer
{
    std::vector<settings::tree_object> objects;
    auto operator<=>(const settings_answer&) const = default;
};

/// Asks the issuer of an idempotency key what became of it.
struct key_query
{
    /// Chosen by the asker; the answer carries it.
    std::uint64_t query_id = 0;
    core::workspace_id workspace;
    core::idempotency_key key;
    auto operator<=>(const key_query&) const = default;
};

/// What the issuer knows of an idempotency key.
enum class key_state : std::uint8_t
{
    unknown,     ///< not issued by this incarnation: it may have run
    not_run,     ///< it has not run, and will not any more
    in_progress, ///< it is running
    ran,         ///< it ran, with the answer below
    may_have_run ///< it was sent, and its outcome is not known
};

struct key_answer
{
    std::uint64_t query_id = 0;
    key_state state = key_state::unknown;
    /// HTTP status and body of the answer; for `ran` only.
    std::uint32_t status = 0;
    std::string body;
    auto operator<=>(const key_answer&) const = default;
};

/// Everything that instances tell each other. All of it may be lost.
using message =
    std::variant<membership::heartbeat, member_update,
                 membership::member_buckets, settings_offer, settings_fetch,
                 settings_answer, dispatch::load_report, key_query, key_answer>;

} // namespace oriolefall::peer

#endif

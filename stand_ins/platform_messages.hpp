#ifndef ORIOLEFALL_STAND_INS_PLATFORM_MESSAGES_HPP
#define ORIOLEFALL_STAND_INS_PLATFORM_MESSAGES_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "stand_ins/instance_list.hpp"
#include "stand_ins/object_store.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::stand_ins {

/// Faults of the platform that a test has switched on.
struct platform_faults
{
    bool outage = false;
    /// Time that passes before a call takes effect.
    absl::Duration slow = absl::ZeroDuration();
    /// So many writes still take effect and lose their answer.
    std::uint64_t lose_answers = 0;
    bool silent_watch = false;
    bool stale_reads = false;
    /// Calls taken each second; 0 is no limit.
    double rate_per_s = 0;
    absl::Duration instances_lag = absl::ZeroDuration();
    std::partial_ordering operator<=>(const platform_faults&) const = default;
};

/// Calls since the start.
struct platform_stats
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    /// Refused by the rate limit or the outage.
    std::uint64_t refused = 0;
    std::uint64_t lost_answers = 0;
    std::strong_ordering operator<=>(const platform_stats&) const = default;
};

struct not_found
{
    std::strong_ordering operator<=>(const not_found&) const = default;
};

/// The objects under a prefix at a revision.
struct object_listing
{
    std::uint64_t revision = 0;
    std::vector<object_version> objects;
    std::strong_ordering operator<=>(const object_listing&) const = default;
};

/// What a watch has to tell.
struct change_listing
{
    std::uint64_t revision = 0;
    std::vector<object_version> events;
    std::strong_ordering operator<=>(const change_listing&) const = default;
};

/// The revision that a watch begins at is no longer known.
struct revision_gone
{
    std::strong_ordering operator<=>(const revision_gone&) const = default;
};

struct rate_limited
{
    std::strong_ordering operator<=>(const rate_limited&) const = default;
};

struct platform_down
{
    std::strong_ordering operator<=>(const platform_down&) const = default;
};

/// The write took effect, but its answer must not reach the caller.
struct answer_lost
{
    std::strong_ordering operator<=>(const answer_lost&) const = default;
};

struct instance_told
{
    std::strong_ordering operator<=>(const instance_told&) const = default;
};

using platform_reply =
    std::variant<not_found, object_version, object_listing, write_done,
                 write_conflict, change_listing, revision_gone, rate_limited,
                 platform_down, answer_lost, std::vector<instance_record>,
                 instance_told>;
/// Takes the reply to one call; must not block.
using reply_sink = std::function<void(platform_reply)>;

struct read_object
{
    std::string path;
};

struct list_objects
{
    std::string prefix;
};

/// A value of nothing deletes the object.
struct write_object
{
    std::string path;
    std::optional<std::string> value;
    write_condition condition;
};

struct watch_objects
{
    std::string prefix;
    std::uint64_t from = 0;
    absl::Duration timeout = absl::ZeroDuration();
};

struct list_instances
{
};

struct tell_instance
{
    instance_record record;
};

struct remove_instance
{
    std::string id;
};

using platform_request =
    std::variant<read_object, list_objects, write_object, watch_objects,
                 list_instances, tell_instance, remove_instance>;

/// A request with the place for its reply.
struct platform_call
{
    platform_request request;
    reply_sink reply;
};

} // namespace oriolefall::stand_ins

#endif

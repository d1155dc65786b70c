#include "oriolefall/peer/message_writer.hpp"

#include "oriolefall/peer/number_codes.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <cstddef>

namespace oriolefall::peer::detail {

namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

void put(packer& to, std::uint64_t value)
{
    to.pack(value);
}

void put(packer& to, const std::string& value)
{
    to.pack(value);
}

template <class Tag>
void put(packer& to, const core::strong_id<Tag>& value)
{
    to.pack(value.value());
}

void put(packer& to, const core::endpoint& value);
void put(packer& to, const membership::member& value);
void put(packer& to, const settings::path_version& value);
void put(packer& to, const settings::tree_object& value);
void put(packer& to, const dispatch::server_load_share& value);
void put(packer& to, const dispatch::lane_share& value);
void put(packer& to, const dispatch::server_observation& value);
void put(packer& to, const dispatch::reported_crash& value);
void put(packer& to, const dispatch::answered_part& value);
void put(packer& to, const dispatch::reported_limit& value);
void put(packer& to, const duties::workspace_count& value);
void put(packer& to, const usage::window_counts& value);
void put(packer& to, const usage::service_demand& value);
void put(packer& to, const follow::collection_revision& value);
void put(packer& to, const follow::object_change& value);
void put(packer& to, const follow::collection_update& value);

template <class T>
void put(packer& to, const std::vector<T>& values)
{
    to.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const T& value : values)
        put(to, value);
}

template <class... Fields>
void put_array(packer& to, const Fields&... fields)
{
    to.pack_array(sizeof...(fields));
    (put(to, fields), ...);
}

void put(packer& to, const core::endpoint& value)
{
    put_array(to, value.address, std::uint64_t{value.port});
}

void put(packer& to, const membership::member& value)
{
    put_array(to, value.id, value.incarnation,
              static_cast<std::uint64_t>(value.state), value.caller_endpoint,
              value.peer_endpoint, value.location.region,
              value.location.failure_domain);
}

void put(packer& to, const settings::path_version& value)
{
    put_array(to, value.path, value.version);
}

void put(packer& to, const settings::tree_object& value)
{
    put_array(to, value.path, value.version, value.value);
}

void put(packer& to, const dispatch::server_load_share& value)
{
    put_array(to, value.server, std::uint64_t{value.calls},
              std::uint64_t{value.backlog_tokens});
}

void put(packer& to, const dispatch::lane_share& value)
{
    put_array(to, value.service, std::uint64_t{value.permille});
}

void put(packer& to, const duties::workspace_count& value)
{
    put_array(to, value.workspace, value.requests);
}

void put(packer& to, const usage::window_counts& value)
{
    put_array(to, value.window, value.counts);
}

void put(packer& to, const usage::service_demand& value)
{
    put_array(to, value.service, value.failure_domain, value.calls_milli,
              value.urgent_calls_milli, std::uint64_t{value.answers},
              std::uint64_t{value.late_answers}, std::uint64_t{value.refused});
}

void put(packer& to, const dispatch::server_observation& value)
{
    put_array(to, value.server, std::uint64_t{value.running},
              std::uint64_t{value.waiting},
              std::uint64_t{value.time_scale_permille},
              std::uint64_t{value.call_limit}, std::uint64_t{value.age_ms});
}

void put(packer& to, const follow::collection_revision& value)
{
    put_array(to, value.collection, value.revision, value.epoch);
}

void put(packer& to, const follow::object_change& value)
{
    put_array(to, value.object.name, value.object.revision, value.object.value,
              std::uint64_t{value.is_deleted});
}

/// In milliseconds; the largest number stands for an infinite duration.
std::uint64_t to_milliseconds(absl::Duration value)
{
    return value == absl::InfiniteDuration()
               ? infinite_milliseconds
               : static_cast<std::uint64_t>(absl::ToInt64Milliseconds(
                     absl::Ceil(value, absl::Milliseconds(1))));
}

void put(packer& to, const follow::collection_update& value)
{
    put_array(to, value.collection, value.from_revision, value.revision,
              std::uint64_t{value.is_snapshot}, value.changes,
              to_milliseconds(value.age), to_milliseconds(value.reachable_for),
              value.epoch);
}

void put(packer& to, const dispatch::reported_crash& value)
{
    put_array(to, value.server.server,
              static_cast<std::uint64_t>(value.server.started_at_ms),
              to_milliseconds(value.age), value.parts,
              std::uint64_t{value.is_refuted});
}

void put(packer& to, const dispatch::answered_part& value)
{
    put_array(to, value.part, to_milliseconds(value.age));
}

/// In thousandths, after a number that says whether there is a limit.
void put(packer& to, const dispatch::reported_limit& value)
{
    const double permille = value.rate_limit.value_or(0) * permille_per_unit;
    put_array(to, value.server.server,
              static_cast<std::uint64_t>(value.server.started_at_ms),
              std::uint64_t{value.rate_limit.has_value()},
              static_cast<std::uint64_t>(
                  std::min<double>(permille, max_limit_permille)),
              to_milliseconds(value.age));
}

void put_message(packer& to, std::uint64_t kind,
                 const membership::heartbeat& value)
{
    put_array(to, kind, value.incarnation, value.counter, value.settings_digest,
              value.members_digest);
}

void put_message(packer& to, std::uint64_t kind, const member_update& value)
{
    put_array(to, kind, value.members);
}

void put_message(packer& to, std::uint64_t kind,
                 const membership::member_buckets& value)
{
    const std::vector<std::uint64_t> digests(value.digests.begin(),
                                             value.digests.end());
    put_array(to, kind, digests);
}

void put_message(packer& to, std::uint64_t kind, const settings_offer& value)
{
    put_array(to, kind, value.versions);
}

void put_message(packer& to, std::uint64_t kind, const settings_fetch& value)
{
    put_array(to, kind, value.paths);
}

void put_message(packer& to, std::uint64_t kind, const settings_answer& value)
{
    put_array(to, kind, value.objects);
}

void put_message(packer& to, std::uint64_t kind,
                 const dispatch::load_report& value)
{
    put_array(to, kind, value.servers, value.lanes, value.observations);
}

void put_message(packer& to, std::uint64_t kind, const key_query& value)
{
    put_array(to, kind, value.query_id, value.workspace, value.key);
}

void put_message(packer& to, std::uint64_t kind, const key_answer& value)
{
    put_array(to, kind, value.query_id, static_cast<std::uint64_t>(value.state),
              std::uint64_t{value.status}, value.body);
}

void put_message(packer& to, std::uint64_t kind,
                 const follow::view_query& value)
{
    put_array(to, kind, value.query_id, value.collections);
}

void put_message(packer& to, std::uint64_t kind,
                 const follow::view_update& value)
{
    put_array(to, kind, value.query_id, value.collections);
}

void put_message(packer& to, std::uint64_t kind,
                 const dispatch::crash_report& value)
{
    put_array(to, kind, value.crashes, value.answered);
}

void put_message(packer& to, std::uint64_t kind,
                 const dispatch::notice_report& value)
{
    put_array(to, kind, value.limits);
}

void put_message(packer& to, std::uint64_t kind,
                 const usage::usage_update& value)
{
    put_array(to, kind, value.incarnation,
              static_cast<std::uint64_t>(value.sent_at_ms), value.windows,
              value.demand);
}

} // namespace

std::string write_message(const message& value)
{
    msgpack::sbuffer bytes;
    packer to(bytes);
    const auto kind = static_cast<std::uint64_t>(value.index());
    std::visit(
        [&](const auto& alternative) { put_message(to, kind, alternative); },
        value);
    return {bytes.data(), bytes.size()};
}

} // namespace oriolefall::peer::detail

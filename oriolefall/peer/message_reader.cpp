#include "oriolefall/peer/message_reader.hpp"

#include "oriolefall/peer/number_codes.hpp"
#include "oriolefall/usage/usage_settings.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace oriolefall::peer::detail {

namespace {

/// Longer durations are not plausible in a message.
constexpr std::uint64_t max_milliseconds =
    std::uint64_t{1000} * 60 * 60 * 24 * 365;

/// The message of a kind on the wire, which is its index in `message`.
template <std::size_t Kind>
using message_of = std::variant_alternative_t<Kind, message>;

void get(field_reader& from, std::string& value)
{
    value = from.read_text();
}

template <class Tag>
void get(field_reader& from, core::strong_id<Tag>& value)
{
    value = core::strong_id<Tag>(from.read_text());
}

void get(field_reader& from, std::uint64_t& value)
{
    value = from.read_number();
}

void get(field_reader& from, core::endpoint& value)
{
    field_reader fields = from.read_array();
    value.address = fields.read_text();
    value.port = fields.read_number_as<std::uint16_t>();
}

void get(field_reader& from, membership::member& value)
{
    field_reader fields = from.read_array();
    get(fields, value.id);
    value.incarnation = fields.read_number();
    value.state = fields.read_enumerator<membership::member_state>(
        membership::member_state::dead);
    get(fields, value.caller_endpoint);
    get(fields, value.peer_endpoint);
    get(fields, value.location.region);
    get(fields, value.location.failure_domain);
}

void get(field_reader& from, settings::path_version& value)
{
    field_reader fields = from.read_array();
    value.path = fields.read_text();
    value.version = fields.read_number();
}

void get(field_reader& from, settings::tree_object& value)
{
    field_reader fields = from.read_array();
    value.path = fields.read_text();
    value.version = fields.read_number();
    value.value = fields.read_text();
}

void get(field_reader& from, dispatch::server_load_share& value)
{
    field_reader fields = from.read_array();
    get(fields, value.server);
    value.calls = fields.read_number_as<std::uint32_t>();
    value.backlog_tokens = fields.read_number_as<std::uint32_t>();
}

void get(field_reader& from, dispatch::lane_share& value)
{
    constexpr std::uint32_t max_permille = 1000;
    field_reader fields = from.read_array();
    get(fields, value.service);
    value.permille = fields.read_number_as<std::uint32_t>();
    from.require(value.permille <= max_permille);
}

void get(field_reader& from, dispatch::server_observation& value)
{
    field_reader fields = from.read_array();
    get(fields, value.server);
    value.running = fields.read_number_as<std::uint32_t>();
    value.waiting = fields.read_number_as<std::uint32_t>();
    value.time_scale_permille = fields.read_number_as<std::uint32_t>();
    value.call_limit = fields.read_number_as<std::uint32_t>();
    value.age_ms = fields.read_number_as<std::uint32_t>();
}

void get(field_reader& from, follow::collection_revision& value)
{
    field_reader fields = from.read_array();
    value.collection = fields.read_text();
    value.revision = fields.read_number();
    value.epoch = fields.read_number();
}

bool get_flag(field_reader& from)
{
    const std::uint64_t value = from.read_number();
    from.require(value <= 1);
    return value == 1;
}

absl::Duration get_duration(field_reader& from)
{
    const std::uint64_t value = from.read_number();
    if (value == infinite_milliseconds)
        return absl::InfiniteDuration();
    from.require(value <= max_milliseconds);
    return absl::Milliseconds(static_cast<std::int64_t>(value));
}

void get(field_reader& from, follow::object_change& value)
{
    field_reader fields = from.read_array();
    value.object.name = fields.read_text();
    value.object.revision = fields.read_number();
    value.object.value = fields.read_text();
    value.is_deleted = get_flag(fields);
}

void get(field_reader& from, dispatch::reported_crash& value);
void get(field_reader& from, dispatch::answered_part& value);
void get(field_reader& from, dispatch::reported_limit& value);
void get(field_reader& from, follow::collection_update& value);
void get(field_reader& from, duties::workspace_count& value);
void get(field_reader& from, usage::window_counts& value);
void get(field_reader& from, usage::service_demand& value);

template <class T>
void get(field_reader& from, std::vector<T>& values)
{
    field_reader fields = from.read_array();
    values.resize(fields.remaining());
    for (T& value : values)
        get(fields, value);
}

/// The same for at most `max_size` elements.
template <class T>
void get_bounded(field_reader& from, std::vector<T>& values,
                 std::size_t max_size)
{
    field_reader fields = from.read_array();
    fields.require(fields.remaining() <= max_size);
    values.resize(fields.remaining());
    for (T& value : values)
        get(fields, value);
}

void get(field_reader& from, duties::workspace_count& value)
{
    field_reader fields = from.read_array();
    get(fields, value.workspace);
    value.requests = fields.read_number();
    fields.require(value.requests <= usage::max_count);
}

void get(field_reader& from, usage::window_counts& value)
{
    field_reader fields = from.read_array();
    value.window = fields.read_number();
    get_bounded(fields, value.counts, usage::max_workspaces);
}

void get(field_reader& from, usage::service_demand& value)
{
    field_reader fields = from.read_array();
    get(fields, value.service);
    get(fields, value.failure_domain);
    value.calls_milli = fields.read_number();
    value.urgent_calls_milli = fields.read_number();
    fields.require(value.calls_milli <= usage::max_count &&
                   value.urgent_calls_milli <= usage::max_count);
    value.answers = fields.read_number_as<std::uint32_t>();
    value.late_answers = fields.read_number_as<std::uint32_t>();
    value.refused = fields.read_number_as<std::uint32_t>();
}

void get(field_reader& from, follow::collection_update& value)
{
    field_reader fields = from.read_array();
    value.collection = fields.read_text();
    value.from_revision = fields.read_number();
    value.revision = fields.read_number();
    value.is_snapshot = get_flag(fields);
    get(fields, value.changes);
    value.age = get_duration(fields);
    value.reachable_for = get_duration(fields);
    value.epoch = fields.read_number();
}

absl::Duration get_finite_duration(field_reader& from)
{
    const absl::Duration value = get_duration(from);
    from.require(value != absl::InfiniteDuration());
    return value;
}

void get(field_reader& from, dispatch::reported_crash& value)
{
    field_reader fields = from.read_array();
    get(fields, value.server.server);
    value.server.started_at_ms =
        static_cast<std::int64_t>(fields.read_number());
    value.age = get_finite_duration(fields);
    get(fields, value.parts);
    value.is_refuted = get_flag(fields);
}

void get(field_reader& from, dispatch::answered_part& value)
{
    field_reader fields = from.read_array();
    value.part = fields.read_number();
    value.age = get_finite_duration(fields);
}

void get(field_reader& from, dispatch::reported_limit& value)
{
    field_reader fields = from.read_array();
    get(fields, value.server.server);
    value.server.started_at_ms =
        static_cast<std::int64_t>(fields.read_number());
    const bool has_limit = get_flag(fields);
    const std::uint64_t permille = fields.read_number();
    from.require(permille <= max_limit_permille);
    if (has_limit)
        value.rate_limit = static_cast<double>(permille) / permille_per_unit;
    value.age = get_finite_duration(fields);
}

void get_message(field_reader& from, membership::heartbeat& value)
{
    value.incarnation = from.read_number();
    value.counter = from.read_number();
    value.settings_digest = from.read_number();
    value.members_digest = from.read_number();
}

void get_message(field_reader& from, member_update& value)
{
    get(from, value.members);
}

void get_message(field_reader& from, membership::member_buckets& value)
{
    std::vector<std::uint64_t> digests;
    get(from, digests);
    from.require(digests.size() == value.digests.size());
    std::ranges::copy(digests, value.digests.begin());
}

void get_message(field_reader& from, settings_offer& value)
{
    get(from, value.versions);
}

void get_message(field_reader& from, settings_fetch& value)
{
    get(from, value.paths);
}

void get_message(field_reader& from, settings_answer& value)
{
    get(from, value.objects);
}

void get_message(field_reader& from, dispatch::load_report& value)
{
    get(from, value.servers);
    // Older instances send none.
    if (from.remaining() > 0)
        get(from, value.lanes);
    if (from.remaining() > 0)
        get(from, value.observations);
    from.require(value.observations.size() <=
                 dispatch::max_server_observations);
}

void get_message(field_reader& from, key_query& value)
{
    value.query_id = from.read_number();
    get(from, value.workspace);
    get(from, value.key);
}

void get_message(field_reader& from, key_answer& value)
{
    value.query_id = from.read_number();
    value.state = from.read_enumerator<key_state>(key_state::may_have_run);
    value.status = from.read_number_as<std::uint32_t>();
    value.body = from.read_text();
}

void get_message(field_reader& from, follow::view_query& value)
{
    value.query_id = from.read_number();
    get(from, value.collections);
}

void get_message(field_reader& from, follow::view_update& value)
{
    value.query_id = from.read_number();
    get(from, value.collections);
}

void get_message(field_reader& from, dispatch::crash_report& value)
{
    get(from, value.crashes);
    get(from, value.answered);
}

void get_message(field_reader& from, dispatch::notice_report& value)
{
    get(from, value.limits);
}

void get_message(field_reader& from, usage::usage_update& value)
{
    value.incarnation = from.read_number();
    value.sent_at_ms = static_cast<std::int64_t>(from.read_number());
    // Bounds the offsets of clocks that are computed from it.
    from.require(value.sent_at_ms >= 0 &&
                 value.sent_at_ms <= usage::max_sent_at_ms);
    get_bounded(from, value.windows, usage::max_update_windows);
    get_bounded(from, value.demand, usage::max_demands);
}

template <std::size_t Kind>
message get_message_of_kind(field_reader& from)
{
    message_of<Kind> value;
    get_message(from, value);
    return value;
}

/// Reads the fields of a message of this kind; empty if the kind is unknown.
template <std::size_t... Kinds>
std::optional<message> get_message_by_kind(field_reader& from,
                                           std::uint64_t kind,
                                           std::index_sequence<Kinds...>)
{
    using reader = message (*)(field_reader&);
    constexpr std::array<reader, sizeof...(Kinds)> readers{
        &get_message_of_kind<Kinds>...};
    if (kind >= readers.size())
        return std::nullopt;
    return readers[kind](from);
}

} // namespace

std::optional<message> read_message(field_reader& from, std::uint64_t kind)
{
    return get_message_by_kind(
        from, kind, std::make_index_sequence<std::variant_size_v<message>>{});
}

} // namespace oriolefall::peer::detail

#include "oriolefall/peer/codec.hpp"

#include "oriolefall/peer/field_reader.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <optional>
#include <utility>

namespace oriolefall::peer {

namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::uint64_t infinite_milliseconds =
    std::numeric_limits<std::uint64_t>::max();
/// Longer durations are not plausible in a message.
constexpr std::uint64_t max_milliseconds =
    std::uint64_t{1000} * 60 * 60 * 24 * 365;

/// The message of a kind on the wire, which is its index in `message`.
template <std::size_t Kind>
using message_of = std::variant_alternative_t<Kind, message>;

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

void put(packer& to, const follow::collection_revision& value)
{
    put_array(to, value.collection, value.revision);
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
              to_milliseconds(value.age), to_milliseconds(value.reachable_for));
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
    put_array(to, kind, value.servers, value.lanes);
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

using detail::field_reader;

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

void get(field_reader& from, follow::collection_revision& value)
{
    field_reader fields = from.read_array();
    value.collection = fields.read_text();
    value.revision = fields.read_number();
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

void get(field_reader& from, follow::collection_update& value);

template <class T>
void get(field_reader& from, std::vector<T>& values)
{
    field_reader fields = from.read_array();
    values.resize(fields.remaining());
    for (T& value : values)
        get(fields, value);
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

std::string encode(const message& value)
{
    msgpack::sbuffer bytes;
    packer to(bytes);
    const auto kind = static_cast<std::uint64_t>(value.index());
    std::visit(
        [&](const auto& alternative) { put_message(to, kind, alternative); },
        value);
    return {bytes.data(), bytes.size()};
}

std::variant<message, refusal> decode(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = detail::unpack_bounded(bytes);
        field_reader fields(handle.get());
        const std::uint64_t kind = fields.read_number();
        const auto kinds =
            std::make_index_sequence<std::variant_size_v<message>>{};
        std::optional<message> value = get_message_by_kind(fields, kind, kinds);
        if (!value)
            return refusal::unknown_message;
        return *std::move(value);
    } catch (const msgpack::unpack_error&) {
        return refusal::malformed;
    } catch (const msgpack::type_error&) {
        return refusal::malformed;
    }
}

} // namespace oriolefall::peer

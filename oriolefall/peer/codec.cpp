#include "oriolefall/peer/codec.hpp"

#include "oriolefall/peer/field_reader.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <utility>

namespace oriolefall::peer {

namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

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
    put_array(to, kind, value.servers);
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

template <class T>
void get(field_reader& from, std::vector<T>& values)
{
    field_reader fields = from.read_array();
    values.resize(fields.remaining());
    for (T& value : values)
        get(fields, value);
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

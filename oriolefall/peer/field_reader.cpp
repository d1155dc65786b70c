#include "oriolefall/peer/field_reader.hpp"

namespace oriolefall::peer::detail {

namespace {
/// Nesting of arrays: a message, its lists, their elements and the fields of
/// those.
constexpr std::size_t max_depth = 8;
/// Limit on the elements of one array.
constexpr std::size_t max_elements = std::size_t{8} * 1024;
constexpr std::size_t max_text_bytes = std::size_t{16} * 1024 * 1024;
} // namespace

msgpack::object_handle unpack_bounded(std::string_view bytes)
{
    const msgpack::unpack_limit limits(max_elements, 0, max_text_bytes,
                                       max_text_bytes, 0, max_depth);
    std::size_t consumed = 0;
    bool is_referenced = false;
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), consumed, is_referenced,
                        nullptr, nullptr, limits);
    if (consumed != bytes.size())
        throw msgpack::parse_error("more than one object");
    return handle;
}

field_reader::field_reader(const msgpack::object& array)
{
    require(array.type == msgpack::type::ARRAY);
    next_ = array.via.array.ptr;
    end_ = next_ + array.via.array.size;
}

std::uint64_t field_reader::read_number()
{
    return next().as<std::uint64_t>();
}

std::string field_reader::read_text()
{
    const msgpack::object& field = next();
    require(field.type == msgpack::type::STR);
    return {field.via.str.ptr, field.via.str.size};
}

field_reader field_reader::read_array()
{
    return field_reader(next());
}

std::size_t field_reader::remaining() const
{
    return static_cast<std::size_t>(end_ - next_);
}

void field_reader::require(bool condition) const
{
    if (!condition)
        throw msgpack::type_error();
}

const msgpack::object& field_reader::next()
{
    require(next_ != end_);
    return *next_++;
}

} // namespace oriolefall::peer::detail

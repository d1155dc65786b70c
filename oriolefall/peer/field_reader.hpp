#ifndef ORIOLEFALL_PEER_FIELD_READER_HPP
#define ORIOLEFALL_PEER_FIELD_READER_HPP

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace oriolefall::peer::detail {

/// Unpacks bytes that hold exactly one MessagePack object, with limits on its
/// depth and size. Throws `msgpack::unpack_error`.
[[nodiscard]] msgpack::object_handle unpack_bounded(std::string_view bytes);

/// Reads the fields of a MessagePack array in order. Trailing fields may stay
/// unread. Throws `msgpack::type_error` if a field is missing or has another
/// type; only the codec uses it, which catches that exception.
class field_reader
{
public:
    explicit field_reader(const msgpack::object& array);

    [[nodiscard]] std::uint64_t read_number();
    [[nodiscard]] std::string read_text();
    [[nodiscard]] field_reader read_array();
    /// Number of fields that have not been read yet.
    [[nodiscard]] std::size_t remaining() const;
    /// Throws `msgpack::type_error` if `condition` is false.
    void require(bool condition) const;

    /// Reads a number that must fit into `T`.
    template <class T>
    [[nodiscard]] T read_number_as()
    {
        const std::uint64_t value = read_number();
        require(value <= std::numeric_limits<T>::max());
        return static_cast<T>(value);
    }

    /// Reads a value of an enumeration whose enumerators run from 0 to `last`.
    template <class T>
    [[nodiscard]] T read_enumerator(T last)
    {
        const std::uint64_t value = read_number();
        require(value <= static_cast<std::uint64_t>(last));
        return static_cast<T>(value);
    }

private:
    [[nodiscard]] const msgpack::object& next();

    const msgpack::object* next_ = nullptr;
    const msgpack::object* end_ = nullptr;
};

} // namespace oriolefall::peer::detail

#endif

#ifndef ORIOLEFALL_PEER_FIELD_READER_HPP
#define ORIOLEFALL_PEER_FIELD_READER_HPP

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace oriolefall::peer::detail {

/// Reads bytes that hold exactly one MessagePack object of bounded depth.
/// Throws `msgpack::unpack_error`.
[[nodiscard]] msgpack::object_handle unpack_bounded(std::string_view bytes);

/// Reads the fields of a MessagePack array one after another. Fields beyond
/// those asked for are left unread. Throws `msgpack::type_error` when a field
/// is missing or of another type. Stays inside the codec.
class field_reader
{
public:
    explicit field_reader(const msgpack::object& array);

    [[nodiscard]] std::uint64_t number();
    [[nodiscard]] std::string text();
    [[nodiscard]] field_reader array();
    /// Fields that have not been read.
    [[nodiscard]] std::size_t size() const;
    void require(bool condition) const;

    /// A number that fits into `T`.
    template <class T>
    [[nodiscard]] T number_as()
    {
        const std::uint64_t value = number();
        require(value <= std::numeric_limits<T>::max());
        return static_cast<T>(value);
    }

    /// A value of an enumeration that starts at 0 and ends with `last`.
    template <class T>
    [[nodiscard]] T enumerator(T last)
    {
        const std::uint64_t value = number();
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

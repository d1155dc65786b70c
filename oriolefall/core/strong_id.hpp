#ifndef ORIOLEFALL_CORE_STRONG_ID_HPP
#define ORIOLEFALL_CORE_STRONG_ID_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace oriolefall::core {

/// An identifier whose type prevents confusion with other kinds. `Tag` is the
/// kind and `Rep` the stored type. A value type without shared state.
template <class Tag, class Rep = std::string>
class strong_id
{
public:
    using rep = Rep;

    strong_id() = default;
    explicit strong_id(Rep value) : value_(std::move(value)) {}

    [[nodiscard]] const Rep& value() const noexcept
    {
        return value_;
    }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend bool operator==(const strong_id&, const strong_id&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash hash, const strong_id& id)
    {
        return Hash::combine(std::move(hash), id.value_);
    }

private:
    Rep value_{};
};

} // namespace oriolefall::core

#endif

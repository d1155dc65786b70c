#ifndef ORIOLEFALL_MOVE_ATTAINMENT_HPP
#define ORIOLEFALL_MOVE_ATTAINMENT_HPP

#include "oriolefall/move/event.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace oriolefall::move {

/// The class that meets its target least often.
struct lowest_attainment
{
    core::class_name name;
    /// 0 to 1.
    double attainment = 1.0;
    std::partial_ordering operator<=>(const lowest_attainment&) const = default;
};

/// Adds up figures since the last step. Pure; one thread.
class attainment_window
{
public:
    void clear();
    void add(const figures_reported& figures);

    /// Of the classes with `fewest` answers or more; nothing when there is
    /// none.
    [[nodiscard]] std::optional<lowest_attainment>
    lowest(std::uint64_t fewest) const;
    /// True when every class that has answers has `fewest` or more.
    [[nodiscard]] bool is_complete(std::uint64_t fewest) const;

private:
    std::map<core::class_name, class_figures> sums_;
};

} // namespace oriolefall::move

#endif

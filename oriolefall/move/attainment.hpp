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

/// Sums the attainment of each class since the last step of a move. Pure; for
/// use by one thread.
class attainment_window
{
public:
    void clear();
    void add(const attainment_reported& report);

    /// The lowest attainment among the classes with at least `min_answers`
    /// answers; nullopt when there is no such class.
    [[nodiscard]] std::optional<lowest_attainment>
    lowest(std::uint64_t min_answers) const;
    /// True when at least one class has answers, and every class that has any
    /// has at least `min_answers`.
    [[nodiscard]] bool is_complete(std::uint64_t min_answers) const;

private:
    std::map<core::class_name, class_attainment> sums_;
};

} // namespace oriolefall::move

#endif

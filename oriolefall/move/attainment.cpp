#include "oriolefall/move/attainment.hpp"

#include <algorithm>

namespace oriolefall::move {

void attainment_window::clear()
{
    sums_.clear();
}

void attainment_window::add(const attainment_reported& report)
{
    for (const class_attainment& some : report.classes) {
        class_attainment& sum = sums_[some.name];
        sum.answers += some.answers;
        sum.within_target += some.within_target;
    }
}

std::optional<lowest_attainment>
attainment_window::lowest(std::uint64_t min_answers) const
{
    std::optional<lowest_attainment> found;
    for (const auto& [name, sum] : sums_) {
        if (sum.answers == 0 || sum.answers < min_answers)
            continue;
        const double attainment = static_cast<double>(sum.within_target) /
                                  static_cast<double>(sum.answers);
        if (!found || attainment < found->attainment)
            found = lowest_attainment{name, attainment};
    }
    return found;
}

bool attainment_window::is_complete(std::uint64_t min_answers) const
{
    const auto has_enough = [&](const auto& some) {
        return some.second.answers == 0 || some.second.answers >= min_answers;
    };
    return lowest(min_answers).has_value() &&
           std::ranges::all_of(sums_, has_enough);
}

} // namespace oriolefall::move

#include "oriolefall/move/attainment.hpp"

#include <algorithm>

namespace oriolefall::move {

void attainment_window::clear()
{
    sums_.clear();
}

void attainment_window::add(const figures_reported& figures)
{
    for (const class_figures& some : figures.classes) {
        class_figures& sum = sums_[some.name];
        sum.answers += some.answers;
        sum.in_time += some.in_time;
    }
}

std::optional<lowest_attainment>
attainment_window::lowest(std::uint64_t fewest) const
{
    std::optional<lowest_attainment> found;
    for (const auto& [name, sum] : sums_) {
        if (sum.answers == 0 || sum.answers < fewest)
            continue;
        const double share =
            static_cast<double>(sum.in_time) / static_cast<double>(sum.answers);
        if (!found || share < found->attainment)
            found = lowest_attainment{name, share};
    }
    return found;
}

bool attainment_window::is_complete(std::uint64_t fewest) const
{
    const auto has_enough = [&](const auto& some) {
        return some.second.answers == 0 || some.second.answers >= fewest;
    };
    return lowest(fewest).has_value() && std::ranges::all_of(sums_, has_enough);
}

} // namespace oriolefall::move

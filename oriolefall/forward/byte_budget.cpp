#include "oriolefall/forward/byte_budget.hpp"

#include <cassert>

namespace oriolefall::forward {

bool byte_budget::try_take(std::size_t bytes)
{
    if (bytes > limit_ - used_)
        return false;
    used_ += bytes;
    return true;
}

void byte_budget::give_back(std::size_t bytes)
{
    assert(bytes <= used_);
    used_ -= bytes;
}

byte_share::~byte_share()
{
    if (budget_ != nullptr)
        budget_->give_back(bytes_);
}

bool byte_share::grow_to(std::size_t bytes)
{
    if (bytes <= bytes_)
        return true;
    if (budget_ == nullptr || !budget_->try_take(bytes - bytes_))
        return false;
    bytes_ = bytes;
    return true;
}

} // namespace oriolefall::forward

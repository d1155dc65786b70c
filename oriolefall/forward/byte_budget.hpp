#ifndef ORIOLEFALL_FORWARD_BYTE_BUDGET_HPP
#define ORIOLEFALL_FORWARD_BYTE_BUDGET_HPP

#include <cstddef>
#include <utility>

namespace oriolefall::forward {

/// Limit on the bytes that many holders have in memory together. Not
/// thread-safe.
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit) : limit_(limit) {}
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;

    /// False, without an effect, when that would exceed the limit.
    [[nodiscard]] bool try_take(std::size_t bytes);
    void give_back(std::size_t bytes);

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

/// What one holder has taken of a budget; given back when it is destroyed,
/// which must be before the budget is.
class byte_share
{
public:
    byte_share() = default;
    explicit byte_share(byte_budget& budget) : budget_(&budget) {}
    byte_share(byte_share&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)),
          bytes_(std::exchange(other.bytes_, 0))
    {
    }
    byte_share& operator=(byte_share&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    byte_share(const byte_share&) = delete;
    byte_share& operator=(const byte_share&) = delete;
    ~byte_share();

    /// Holds `bytes` in all from now on. False, without an effect, when the
    /// budget has no room for more.
    [[nodiscard]] bool grow_to(std::size_t bytes);

private:
    byte_budget* budget_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace oriolefall::forward

#endif
